package willowdoor.emulator.fair;

import java.awt.Color;
import java.awt.Font;
import java.io.File;
import java.io.IOException;
import java.io.PrintWriter;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.HdrHistogram.Histogram;
import org.jfree.chart.ChartFactory;
import org.jfree.chart.ChartUtils;
import org.jfree.chart.JFreeChart;
import org.jfree.chart.axis.LogAxis;
import org.jfree.chart.axis.NumberAxis;
import org.jfree.chart.plot.XYPlot;
import org.jfree.chart.renderer.xy.XYLineAndShapeRenderer;
import org.jfree.data.xy.XYSeries;
import org.jfree.data.xy.XYSeriesCollection;
import willowdoor.emulator.fair.FairQueueSimulation.Load;
import willowdoor.emulator.fair.FairQueueSimulation.RetryBehaviour;
import willowdoor.emulator.fair.FairQueueSimulation.Order;
import willowdoor.emulator.fair.FairQueueSimulation.Tally;
import willowdoor.fairness.FairCounts;
import willowdoor.fairness.FairSettings;
import willowdoor.fairness.FairSettings.Bounds;
import willowdoor.fairness.FairSettings.ComeBack;
import willowdoor.fairness.FairSettings.Cost;
import willowdoor.fairness.FairSettings.Limit;
import willowdoor.fairness.FairSettings.PlanSettings;

/**
 * Simulates floods of several sizes beside nine firms that together use half of the nodes' capacity: with and
 * without the fair queue, by few and by many clients, through one and four doors, with work that is constant,
 * that varies, and that is ten times what the flooding firm's units say. Five nodes serve 1,000 units a
 * second.
 */
public final class FairSweep {

  /** How the work of requests relates to their units. */
  public enum Work { SAME, VARIES, TEN_TIMES }

  private static final int OTHER_FIRMS = 9;
  private static final double OTHER_REQUESTS_PER_S = 55;
  private static final double QUOTA_UNITS_PER_S = 100;
  private static final double MS_PER_UNIT = 5;
  private static final double TARGET_MS = 1_000;
  private static final int NODES = 5;

  /** Results of one run. */
  public record Row(String plan, double floodQuotas, int clients, int doors, Work work, Order order,
      double service,
      double p99Ms, double floodUnits, long promised, long returned, long honoured, FairCounts counts) {

    double honouredShare() {
      return returned == 0 ? 1 : (double) honoured / returned;
    }
  }

  private final long seed;
  private final double durationMs;

  /**
   * Creates a sweep.
   *
   * @param durationMs simulated length of each run
   */
  public FairSweep(long seed, double durationMs) {
    this.seed = seed;
    this.durationMs = durationMs;
  }

  /** Plays one run; times is the flood's size in quotas, 0 for none. The plan is "metered" or "open". */
  public Row run(String plan, double times, int clients, int doors, Work work, Order order) {
    Map<String, PlanSettings> plans = Map.of("metered", new PlanSettings(0, 1, QUOTA_UNITS_PER_S,
        2 * QUOTA_UNITS_PER_S, 0), "open",
        new PlanSettings(0, 1, 0, 0, 0));
    FairSettings settings = new FairSettings(plans, plans.get("open"), doors,
        work == Work.SAME ? Cost.UNITS : Cost.WORK, Bounds.defaults(), new Limit(24, 4, 1_000),
        new ComeBack(0.8, 10_000));
    FairQueueSimulation world = new FairQueueSimulation(seed, settings, order, doors, NODES, 1, MS_PER_UNIT,
        TARGET_MS);
    if (work != Work.SAME) {
      world.varyUnits();
    }
    List<Load> loads = new ArrayList<>();
    for (int f = 1; f <= OTHER_FIRMS; f++) {
      loads.add(new Load(f, "open", OTHER_REQUESTS_PER_S, 3, doors, 1, 1, RetryBehaviour.OBEY));
    }
    if (times > 0) {
      loads.add(new Load(OTHER_FIRMS + 1, plan, times * QUOTA_UNITS_PER_S, clients, doors, 1,
          work == Work.TEN_TIMES ? 10 : 1, RetryBehaviour.OBEY));
    }
    world.run(loads, durationMs);
    double asked = 0;
    double inTime = 0;
    Histogram waits = new Histogram(3);
    for (int f = 1; f <= OTHER_FIRMS; f++) {
      Tally t = world.tallyOf(f);
      asked += t.asked;
      inTime += t.inTime;
      waits.add(t.answered);
    }
    Tally flood = world.tallyOf(OTHER_FIRMS + 1);
    return new Row(plan, times, clients, doors, work, order, inTime / asked,
        waits.getValueAtPercentile(99) / 1_000.0, flood.unitsServed / durationMs * 1_000,
        world.counts(0).promised(), flood.returned, flood.honoured, world.counts(0));
  }

  /**
   * Measures fairness with ten flooding firms of weights 1 and 2: the largest difference over any interval
   * between two firms' released units divided by weight, printed beside the theoretical bound.
   */
  public void measureSpread(PrintWriter to) {
    Map<String, PlanSettings> plans = Map.of("open", new PlanSettings(0, 1, 0, 0, 0), "twice",
        new PlanSettings(0, 2, 0, 0, 0));
    FairSettings settings = new FairSettings(plans, plans.get("open"), 1, Cost.UNITS, Bounds.defaults(),
        new Limit(24, 4, 1_000), new ComeBack(0.8, 1));
    FairQueueSimulation world = new FairQueueSimulation(seed, settings, Order.FAIR, 1, NODES, 1, MS_PER_UNIT,
        TARGET_MS);
    world.varyUnits();
    List<Load> loads = new ArrayList<>();
    for (int f = 0; f < 10; f++) {
      loads.add(new Load(f, f % 2 == 0 ? "open" : "twice", 400, 3, 1, 1, 1, RetryBehaviour.NEVER));
    }
    world.run(loads, 5_000);
    double[] units = new double[10];
    double[][] least = new double[10][10];
    double[][] most = new double[10][10];
    world.onReleased((firm, cost) -> {
      units[firm.intValue()] += cost / (firm % 2 == 0 ? 1 : 2);
      for (int f = 0; f < 10; f++) {
        for (int m = 0; m < 10; m++) {
          least[f][m] = Math.min(least[f][m], units[f] - units[m]);
          most[f][m] = Math.max(most[f][m], units[f] - units[m]);
        }
      }
    });
    world.run(loads, durationMs);
    for (int[] pair : new int[][] {{0, 2}, {0, 1}, {1, 3}}) {
      double worst = 0;
      for (int f = pair[0] % 2; f < 10; f += 2) {
        for (int m = pair[1] % 2; m < 10; m += 2) {
          worst = Math.max(worst, most[f][m] - least[f][m]);
        }
      }
      // Within a plan: l/w + l/w. Between plans: the sum for both firms and both plans, of weights 5 and 10.
      double bound = pair[0] % 2 == pair[1] % 2 ? 8.0 / (1 + pair[0] % 2) : 8 + 4 + 4.0 / 5 + 4.0 / 10;
      to.printf(Locale.ROOT,
          "weights %d and %d, requests of up to 4 units: apart by %.2f units for a weight at the "
          + "most, bound %.2f, of %.0f let through%n", 1 + pair[0] % 2, 1 + pair[1] % 2, worst, bound,
              units[pair[0]]);
    }
    to.flush();
  }

  /** Plays all runs, prints each as it completes, and writes the chart if a file is given. */
  public List<Row> runAll(PrintWriter to, File chart) throws IOException {
    List<Row> rows = new ArrayList<>();
    to.println("| flood's plan | times quota | clients | doors | work | order | others served in time |"
        + " without flood | their p99 | flood's units/s | came back when told | honoured | limit |"
        + " waiting |");
    to.println("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    for (Work work : Work.values()) {
      for (int doors : new int[] {1, 4}) {
        for (Order order : Order.values()) {
          Row calm = run("open", 0, 1, doors, work, order);
          for (String plan : List.of("metered", "open")) {
            for (double times : new double[] {1, 5, 20, 50}) {
              for (int clients : times == 20 ? new int[] {30, 10_000} : new int[] {1_000}) {
                Row row = run(plan, times, clients, doors, work, order);
                rows.add(row);
                to.printf(Locale.ROOT,
                    "| %s | %.0f | %d | %d | %s | %s | %.4f | %.4f | %.0f ms | %.0f | %d | "
                    + "%s | %.0f | %d |%n", plan, times, clients, doors, work.name().toLowerCase(Locale.ROOT),
                    order.name().toLowerCase(Locale.ROOT), row.service(), calm.service(), row.p99Ms(),
                    row.floodUnits(), row.returned(), row.returned() == 0 ? "-"
                    : String.format(Locale.ROOT, "%.4f", row.honouredShare()), row.counts().limit(),
                    row.counts().waiting());
                to.flush();
              }
            }
          }
        }
      }
    }
    if (chart != null) {
      draw(rows, chart);
    }
    return rows;
  }

  private static void draw(List<Row> rows, File file) throws IOException {
    Map<String, XYSeries> lines = new HashMap<>();
    XYSeriesCollection set = new XYSeriesCollection();
    for (Row r : rows) {
      if (r.plan().equals("open") && r.doors() == 1 && r.work() != Work.VARIES && r.clients() != 30) {
        String name = (r.order() == Order.FAIR ? "fair queue" : "order of coming")
            + (r.work() == Work.SAME ? "" : ", work ten times the units");
        lines.computeIfAbsent(name, n -> {
          XYSeries made = new XYSeries(n);
          set.addSeries(made);
          return made;
        }).addOrUpdate(r.floodQuotas(), r.service());
      }
    }
    JFreeChart chart = ChartFactory.createXYLineChart("Nine firms beside one that floods",
        "flood, in units a second / 100", "others answered in time, of all their requests", set);
    XYPlot plot = chart.getXYPlot();
    plot.setBackgroundPaint(Color.WHITE);
    plot.setDomainGridlinePaint(Color.LIGHT_GRAY);
    plot.setRangeGridlinePaint(Color.LIGHT_GRAY);
    LogAxis axis = new LogAxis("flood, in hundreds of units a second (the nodes serve 10)");
    axis.setNumberFormatOverride(java.text.NumberFormat.getIntegerInstance(Locale.ROOT));
    axis.setSmallestValue(0.5);
    plot.setDomainAxis(axis);
    ((NumberAxis) plot.getRangeAxis()).setRange(0, 1.02);
    plot.setRenderer(new XYLineAndShapeRenderer(true, true));
    chart.getTitle().setFont(new Font(Font.SANS_SERIF, Font.BOLD, 16));
    ChartUtils.saveChartAsPNG(file, chart, 900, 520);
  }
}
