package willowdoor;

import java.io.IOException;

/** Runs the module on the bench's wire, over standard input and output. */
public final class Main {

  private Main() {
  }

  public static void main(String[] args) {
    if (args.length != 1 || !args[0].equals("benchlink")) {
      System.err.println("usage: java -jar willowdoor.jar benchlink");
      System.exit(2);
    }
    try {
      new BenchLink(System.in, System.out).run();
    } catch (IOException | RuntimeException e) {
      String reason = String.valueOf(e.getMessage()).lines().findFirst().orElse("");
      System.err.println("willowdoor: bad input: " + reason);
      System.exit(1);
    }
  }
}
