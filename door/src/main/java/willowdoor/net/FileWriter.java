package willowdoor.net;

import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

/**
 * Writes files that tell other processes of this process, on a thread of its own, as the event loop must not
 * block. Once closed it writes nothing: a file of a process that has ended would mislead the next one.
 */
public final class FileWriter {

  private static final long WRITE_LIMIT_MS = 1_000;

  private final ThreadPoolExecutor thread;

  /** A writer whose thread has that name; the thread exists only while something is written. */
  public FileWriter(String threadName) {
    thread = new ThreadPoolExecutor(0, 1, 0, TimeUnit.MILLISECONDS, new ArrayBlockingQueue<>(1), task -> {
      Thread created = new Thread(task, threadName);
      created.setDaemon(true);
      return created;
    }, new ThreadPoolExecutor.DiscardPolicy());
  }

  /** Runs the write soon, unless this writer is closed; may be called on any thread. */
  public void execute(Runnable write) {
    thread.execute(write);
  }

  /** Waits for the write under way, and discards later ones; not to be called on the event loop. */
  public void close() {
    thread.shutdown();
    try {
      thread.awaitTermination(WRITE_LIMIT_MS, TimeUnit.MILLISECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
