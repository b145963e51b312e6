package willowdoor;

import java.io.IOException;
import willowdoor.benchlink.BenchLink;
import willowdoor.net.FrontDoor;

/** Runs the decision module as a front door process, or under the bench over standard input and output. */
public final class Main {

  private Main() {
  }

  public static void main(String[] args) throws InterruptedException {
    String mode = args.length == 1 ? args[0] : "";
    try {
      switch (mode) {
        case "serve" -> FrontDoor.serve();
        case "benchlink" -> new BenchLink(System.in, System.out).run();
        default -> {
          System.err.println("usage: java -jar willowdoor.jar serve|benchlink");
          System.exit(2);
        }
      }
    } catch (IOException | RuntimeException e) {
      String reason = String.valueOf(e.getMessage()).lines().findFirst().orElse("");
      System.err.println("willowdoor: " + (mode.equals("serve") ? "cannot serve: " : "bad input: ") + reason);
      System.exit(1);
    }
  }
}
