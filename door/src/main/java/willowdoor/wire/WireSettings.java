package willowdoor.wire;

import static willowdoor.wire.JsonFields.child;
import static willowdoor.wire.JsonFields.children;
import static willowdoor.wire.JsonFields.flag;
import static willowdoor.wire.JsonFields.number;
import static willowdoor.wire.JsonFields.text;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import willowdoor.policy.GatewayApi.Capabilities;
import willowdoor.policy.GatewayApi.Group;
import willowdoor.policy.GatewayApi.Plan;
import willowdoor.policy.GatewayApi.Repeat;
import willowdoor.policy.GatewayApi.RequestClass;
import willowdoor.policy.GatewayApi.Rules;
import willowdoor.policy.GatewayApi.Settings;

/** Reads the settings object by its names on the wire, for the bench link and the front door alike. */
public final class WireSettings {

  private WireSettings() {
  }

  public static Settings read(Map<String, Object> settings) {
    Map<String, Object> bounds = child(settings, "Bounds");
    Map<String, Object> extra = child(settings, "Extra");
    Map<String, Object> rules = child(settings, "Rules");
    List<RequestClass> classes = new ArrayList<>();
    for (Map<String, Object> c : children(settings, "Profiles")) {
      classes.add(new RequestClass(text(c, "Name"), number(c, "Value", 1), number(c, "LateValue"),
          number(c, "AimMs"), number(c, "DeadlineMs"), switch (text(c, "Repeat")) {
            case "pure" -> Repeat.SAFE;
            case "token" -> Repeat.KEYED;
            default -> Repeat.UNSAFE;
          }, switch (text(c, "Group")) {
            case "all" -> Group.ALL;
            case "zone" -> Group.ZONE;
            default -> Group.CELL;
          }, number(c, "RepeatWindowMs"), flag(c, "Stream")));
    }
    List<Plan> plans = new ArrayList<>();
    for (Map<String, Object> p : children(settings, "Tariffs")) {
      plans.add(new Plan(text(p, "Name"), number(p, "Refill"), number(p, "PeakUnits"),
          (int) number(p, "Open"), number(p, "WorthFactor", 1), number(p, "BeyondEarns"),
          number(p, "OverrunCost"),
          number(p, "CeilingRate"), number(p, "CeilingBurst"), number(p, "HardSlack")));
    }
    String weights = text(settings, "WeightKind");
    return new Settings((int) number(settings, "Balancers", 1), (int) number(settings, "SelfIndex"),
        text(settings, "MyZone"),
        number(extra, "MaxUnits", 1), number(child(settings, "Prices"), "CrossZone"),
        weights.equals("nominal") || weights.equals("rough"), classes, plans,
        new Capabilities(flag(extra, "Counter"), number(extra, "CountLimitMs"), flag(bounds, "Cancel"),
            flag(bounds, "MayDuplicate"), (int) number(bounds, "MaxAttempts", 1),
            (int) number(bounds, "MaxOpen", Integer.MAX_VALUE), flag(bounds, "RetryAfter"),
            number(bounds, "MaxRetryAfterMs"), text(settings, "Discovery").equals("ask")),
        new Rules(number(rules, "AnswerSlackMs"), number(rules, "ColdFrom", 1), number(rules, "ColdMs"),
            number(rules, "TipMultiple", 1), number(rules, "TipAfterMs", 1)));
  }
}
