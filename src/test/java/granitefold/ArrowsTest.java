package granitefold;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.junit.jupiter.api.Test;

/** Dependencies between packages run one way: cli, net, wire, core, policy; packages that make decisions do no I/O. */
class ArrowsTest {
    private static final JavaClasses CLASSES = new ClassFileImporter().withImportOption(new ImportOption.DoNotIncludeTests())
            .importPackages("granitefold");
    private static final String[] PURE_PACKAGES = {"granitefold.policy..", "granitefold.figures..", "granitefold.core..", "granitefold.availability..", "granitefold.health..",
        "granitefold.recovery..", "granitefold.rollout.."};

    @Test
    void dependenciesRunOneWay() {
        noClasses().that().resideInAnyPackage(PURE_PACKAGES).should().dependOnClassesThat().resideInAnyPackage("granitefold.wire..",
                "granitefold.net..", "granitefold.operator..", "granitefold.cli..", "granitefold.benchlink..").check(CLASSES);
        noClasses().that().resideInAnyPackage("granitefold.availability..", "granitefold.health..").should()
                .dependOnClassesThat().resideInAnyPackage("granitefold.core..").check(CLASSES);
        noClasses().that().resideInAPackage("granitefold.wire..").should().dependOnClassesThat().resideInAnyPackage(
                "granitefold.net..", "granitefold.operator..", "granitefold.cli..").check(CLASSES);
        noClasses().that().resideInAnyPackage("granitefold.net..", "granitefold.operator..").should().dependOnClassesThat()
                .resideInAnyPackage("granitefold.cli..", "granitefold.benchlink..").check(CLASSES);
        noClasses().that().resideOutsideOfPackage("granitefold.standin..").should().dependOnClassesThat()
                .resideInAPackage("granitefold.standin..").check(CLASSES);
        assertTrue(CLASSES.size() > 100, "no classes were imported, the rules would pass without checking any");
    }

    @Test
    void purePackagesUseNoSocketsFilesClocksOrThreads() {
        noClasses().that().resideInAnyPackage(PURE_PACKAGES)
                .should().dependOnClassesThat().resideInAnyPackage("java.net..", "java.nio.channels..", "java.nio.file..",
                        "java.util.concurrent..", "org.eclipse.jetty..", "org.slf4j..")
                .orShould().dependOnClassesThat().areAssignableTo(Thread.class).orShould().callMethod(System.class, "nanoTime")
                .orShould().callMethod(System.class, "currentTimeMillis").check(CLASSES);
    }

    /** A start by the platform loads no library for operators' files and commands. */
    @Test
    void servingCodeDoesNotUseCommandLineAndConfigurationLibraries() {
        classes().that().resideOutsideOfPackages("granitefold.cli..", "granitefold.standin..").should()
                .onlyDependOnClassesThat().resideOutsideOfPackages("picocli..", "ch.qos.logback..", "net.logstash..")
                .check(CLASSES);
        noClasses().that().doNotHaveSimpleName("OperatorFile").and().doNotHaveSimpleName("HoconFile").and().doNotHaveSimpleName("ConfigSection").and()
                .resideOutsideOfPackages("granitefold.cli..", "granitefold.standin..").and().haveNameNotMatching(".*\\.(OperatorFile|HoconFile|ConfigSection)\\$.*")
                .should().dependOnClassesThat().resideInAnyPackage("com.typesafe..", "org.apache.commons..").check(CLASSES);
    }
}
