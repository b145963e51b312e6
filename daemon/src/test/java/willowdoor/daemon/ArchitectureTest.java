package willowdoor.daemon;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.junit.jupiter.api.Assumptions.assumeTrue;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import java.nio.file.Path;
import java.util.jar.JarFile;
import org.junit.jupiter.api.Test;

/** Checks the allowed dependencies between packages, which docs/design.md shows. */
class ArchitectureTest {

  private static final JavaClasses ALL = new ClassFileImporter()
      .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS).importPackages("willowdoor");

  @Test
  void decisionPackagesUseNoIoNoClockAndNoThreads() {
    noClasses().that().resideInAnyPackage("willowdoor.policy..", "willowdoor.life..",
        "willowdoor.agreement..", "willowdoor.authz..", "willowdoor.recovery..", "willowdoor.fairness..",
        "willowdoor.rollout..",
        "willowdoor.membership..", "willowdoor.memory..")
        .should().dependOnClassesThat().resideInAnyPackage("java.io..", "java.net..", "java.nio..",
            "io.netty..",
            "com.fasterxml..", "java.util.concurrent..", "java.time..", "java.util.logging..",
                "willowdoor.net..",
            "willowdoor.wire..", "willowdoor.benchlink..", "willowdoor.daemon..", "willowdoor.testkit..",
            "willowdoor.extauthz..", "willowdoor.valkey..", "io.lettuce..", "io.grpc..", "com.google..",
            "io.envoyproxy..")
        .orShould().callMethod(System.class, "nanoTime").orShould().callMethod(System.class,
            "currentTimeMillis")
        .orShould().dependOnClassesThat().areAssignableTo(Thread.class).check(ALL);
  }

  @Test
  void theDoorDoesNotDependOnHigherLayers() {
    noClasses().that().resideInAnyPackage("willowdoor", "willowdoor.net..", "willowdoor.wire..",
        "willowdoor.benchlink..").should().dependOnClassesThat().resideInAnyPackage("willowdoor.daemon..",
        "willowdoor.testkit..", "willowdoor.life..", "willowdoor.authz..", "willowdoor.extauthz..",
        "willowdoor.fairness..", "willowdoor.fairgate..", "willowdoor.emulator..", "willowdoor.valkey..",
            "io.lettuce..", "io.grpc..",
        "com.google..", "io.envoyproxy..", "picocli..", "org.tomlj..").check(ALL);
  }

  @Test
  void managementDoesNotDependOnTheDoor() {
    noClasses().that().resideInAPackage("willowdoor.management..").should().dependOnClassesThat()
        .resideInAnyPackage("willowdoor.net..", "willowdoor.policy..", "willowdoor.membership..",
            "willowdoor.daemon..", "willowdoor.life..", "com.fasterxml..").check(ALL);
  }

  @Test
  void extAuthzDoesNotDependOnTheDaemonOrTestkit() {
    noClasses().that().resideInAPackage("willowdoor.extauthz..").should().dependOnClassesThat()
        .resideInAnyPackage("willowdoor.daemon..", "willowdoor.testkit..", "willowdoor.life..",
            "willowdoor.benchlink..", "willowdoor.wire..", "picocli..", "org.tomlj..").check(ALL);
  }

  @Test
  void theValkeyStoreDoesNotDependOnTheDaemonTestkitOrExtAuthz() {
    noClasses().that().resideInAPackage("willowdoor.valkey..").should().dependOnClassesThat()
        .resideInAnyPackage("willowdoor.daemon..", "willowdoor.testkit..", "willowdoor.life..",
            "willowdoor.extauthz..", "willowdoor.benchlink..", "willowdoor.wire..", "picocli..",
                "org.tomlj..")
        .check(ALL);
  }

  @Test
  void theTestkitDoesNotDependOnTheDoor() {
    noClasses().that().resideInAPackage("willowdoor.testkit..").should().dependOnClassesThat()
        .resideInAnyPackage("willowdoor", "willowdoor.authz..", "willowdoor.extauthz..",
            "willowdoor.policy..", "willowdoor.life..", "willowdoor.net..",
            "willowdoor.wire..", "willowdoor.benchlink..", "willowdoor.daemon..").check(ALL);
  }

  @Test
  void servingCodeDoesNotDependOnTheTestkit() {
    noClasses().that().resideInAnyPackage("willowdoor.daemon.life..", "willowdoor.daemon.config..")
        .should().dependOnClassesThat().resideInAnyPackage("willowdoor.testkit..",
            "willowdoor.daemon.fleet..", "willowdoor.emulator..",
            "picocli..").check(ALL);
  }

  @Test
  void theEmulatorUsesDecisionsOnlyAndTheFairGateNoDaemonCode() {
    noClasses().that().resideInAPackage("willowdoor.emulator..").should().dependOnClassesThat()
        .resideInAnyPackage("willowdoor.net..", "willowdoor.daemon..", "willowdoor.testkit..",
            "willowdoor.fairgate..", "io.netty..", "picocli..", "java.net..").check(ALL);
    noClasses().that().resideInAPackage("willowdoor.fairgate..").should().dependOnClassesThat()
        .resideInAnyPackage("willowdoor.daemon..", "willowdoor.testkit..", "willowdoor.life..",
            "willowdoor.extauthz..", "willowdoor.emulator..", "willowdoor.wire..").check(ALL);
  }

  @Test
  void packagesHaveNoCycles() {
    slices().matching("willowdoor.(**)").should().beFreeOfCycles().check(ALL);
  }

  /** The platform's jar must not contain the daemon's classes or libraries. */
  @Test
  void thePlatformJarContainsNoDaemonClasses() throws Exception {
    Path jar = Path.of("..", "door", "target", "willowdoor.jar");
    assumeTrue(jar.toFile().exists(), "the jar is built by the package phase");
    try (JarFile lean = new JarFile(jar.toFile())) {
      assertTrue(lean.stream().noneMatch(e -> e.getName().startsWith("picocli") || e.getName()
          .startsWith("org/tomlj")
          || e.getName().startsWith("willowdoor/daemon") || e.getName().startsWith("willowdoor/testkit")
          || e.getName().startsWith("willowdoor/life") || e.getName().startsWith("willowdoor/authz")
          || e.getName().startsWith("willowdoor/fair")
          || e.getName().startsWith("willowdoor/rollout")
          || e.getName().startsWith("willowdoor/agreement") || e.getName().startsWith("willowdoor/steward")
          || e.getName().startsWith("io/microraft") || e.getName().startsWith("org/sqlite")
          || e.getName().startsWith("willowdoor/extauthz") || e.getName().startsWith("willowdoor/valkey")
          || e.getName().startsWith("io/lettuce") || e.getName().startsWith("reactor") ||
              e.getName().startsWith("io/grpc")
          || e.getName().startsWith("io/envoyproxy") || e.getName().startsWith("com/google")));
    }
  }
}
