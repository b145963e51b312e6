package willowdoor.testkit;

import java.util.List;
import java.util.Locale;
import java.util.stream.Collectors;

/**
 * Settings of a run: the values that the doors are configured with and that {@link InvariantChecker} checks.
 * Times are in milliseconds, rates in units per second.
 */
public record RunSettings(List<PlanTerms> plans, double deadlineMs, double keyWindowMs, double drainGraceMs,
    double coldFrom, double coldMs, double tipMultiple, double tipAfterMs, double counterLimitMs) {

  /** One plan. A rate, a ceiling rate or a limit of concurrent requests of 0 means that there is none. */
  public record PlanTerms(String name, double rate, double burst, double ceilingRate, double ceilingBurst,
      double ceilingSlack, int openLimit) {

    public PlanTerms(String name, double rate, double burst, double ceilingRate, double ceilingBurst,
        double ceilingSlack) {
      this(name, rate, burst, ceilingRate, ceilingBurst, ceilingSlack, 0);
    }
  }

  /** Maximum number of units that a request may name. */
  public static final int MAX_UNITS = 8;

  /** Values of a typical day at the users' site, with plans that a test's load can exceed. */
  public static RunSettings typical() {
    return new RunSettings(List.of(new PlanTerms("basic", 5, 20, 10, 40, 8),
        new PlanTerms("full", 30, 60, 0, 0,
        0)),
        4_000, 4_000, 1_000, 0.21, 18_000, 2.5, 2_000, 50);
  }

  /** The same settings with other plans and another time for which backends drop repeats. */
  public RunSettings withPlansAndKeyWindow(List<PlanTerms> others, double otherKeyWindowMs) {
    return new RunSettings(others, deadlineMs, otherKeyWindowMs, drainGraceMs, coldFrom, coldMs, tipMultiple,
        tipAfterMs, counterLimitMs);
  }

  /** The same settings with another warm-up time of backends, in milliseconds. */
  public RunSettings withColdMs(double otherColdMs) {
    return new RunSettings(plans, deadlineMs, keyWindowMs, drainGraceMs, coldFrom, otherColdMs, tipMultiple,
        tipAfterMs, counterLimitMs);
  }

  /**
   * Returns the plan of that name.
   *
   * @throws IllegalArgumentException when there is none
   */
  public PlanTerms plan(String name) {
    return plans.stream().filter(p -> p.name().equals(name)).findFirst()
        .orElseThrow(() -> new IllegalArgumentException("plan: " + name + " (expected: one of " + plans
            + ")"));
  }

  /** The settings object of the platform's configuration, for door number {@code self} of {@code doors}. */
  public String settingsJson(int doors, int self, String zone) {
    String tariffs = plans.stream().map(p -> String.format(Locale.ROOT, "{\"Name\":\"%s\",\"Refill\":%s,"
        + "\"PeakUnits\":%s,\"WorthFactor\":1.5,\"OverrunCost\":1,\"CeilingRate\":%s,\"CeilingBurst\":%s,"
        + "\"HardSlack\":%s,\"Open\":%d}", p.name(), p.rate(), p.burst(), p.ceilingRate(),
        p.ceilingBurst(), p.ceilingSlack(), p.openLimit())).collect(Collectors.joining(","));
    return String.format(Locale.ROOT, """
        {"Balancers":%d,"SelfIndex":%d,"MyZone":"%s","Discovery":"push",
         "Bounds":{"MaxAttempts":6,"Cancel":true,"MaxOpen":5000,"DialTimeoutMs":250,"ConnIdleMs":15000,
          "RetryAfter":true,"MaxRetryAfterMs":2000},
         "Extra":{"Counter":true,"CountLimitMs":%s,"MaxUnits":%d,"CostAfter":true},
         "Rules":{"AnswerSlackMs":8,"ColdFrom":%s,"ColdMs":%s,"TipMultiple":%s,"TipAfterMs":%s},
         "Profiles":[
          {"Name":"check-quote","Repeat":"pure","AimMs":1500,"DeadlineMs":%s,"Value":1,"Group":"all"},
          {"Name":"register-buy","Repeat":"token","AimMs":1200,"DeadlineMs":%s,"Value":5,"Group":"all",
           "RepeatWindowMs":%s},
          {"Name":"move-title","Repeat":"never","AimMs":1500,"DeadlineMs":%s,"Value":3,"Group":"all"}],
         "Tariffs":[%s]}""", doors, self, zone, counterLimitMs, MAX_UNITS, coldFrom, coldMs, tipMultiple,
        tipAfterMs, deadlineMs, deadlineMs, keyWindowMs, deadlineMs, tariffs);
  }
}
