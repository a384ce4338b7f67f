package org.lacewingstep.controller;

import java.time.Instant;
import java.util.stream.Stream;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.junit.jupiter.api.Test;
import org.lacewingstep.blackboard.LifecycleSection;
import org.lacewingstep.blackboard.Section;
import org.lacewingstep.blackboard.ServingSection;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static org.assertj.core.api.Assertions.assertThat;

/** Tests the architecture: each section has one controller as its writer, and decisions do no I/O and read no clock. */
class ArchitectureTest {
    private static final String[] DECISION_PACKAGES = {
        "org.lacewingstep.blackboard..",
        "org.lacewingstep.controller..",
        "org.lacewingstep.domain..",
        "org.lacewingstep.rollout.."
    };

    private final JavaClasses productionClasses = new ClassFileImporter()
            .withImportOption(new ImportOption.DoNotIncludeTests())
            .importPackages("org.lacewingstep");

    @Test
    void everySectionHasExactlyOneWriter() {
        assertThat(BlackboardStepper.CONTROLLERS)
                .extracting(Controller::section)
                .containsExactlyInAnyOrder(leafTypes(Section.class).toArray(Class[]::new));
    }

    @Test
    void eventsOfAPlatformReachTheWritersOfItsSectionsAlone() {
        assertThat(BlackboardStepper.SITE_CONTROLLERS)
                .extracting(Controller::section)
                .containsExactlyInAnyOrder(
                        Stream.concat(Stream.of(LifecycleSection.class), leafTypes(ServingSection.class))
                                .toArray(Class[]::new));
    }

    private static Stream<Class<?>> leafTypes(final Class<?> type) {
        return type.isSealed()
                ? Stream.of(type.getPermittedSubclasses()).flatMap(ArchitectureTest::leafTypes)
                : Stream.of(type);
    }

    @Test
    void platformPackageDoesNotDependOnControllers() {
        noClasses()
                .that()
                .resideInAPackage("org.lacewingstep.platform..")
                .should()
                .dependOnClassesThat()
                .resideInAPackage("org.lacewingstep.controller..")
                .check(productionClasses);
    }

    @Test
    void decisionsDoNoInputOrOutput() {
        noClasses()
                .that()
                .resideInAnyPackage(DECISION_PACKAGES)
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "ratpack..",
                        "io.netty..",
                        "org.apache.thrift..",
                        "com.fasterxml..",
                        "org.slf4j..",
                        "java.io..",
                        "java.net..",
                        "java.nio.file..",
                        "org.lacewingstep.control..",
                        "org.lacewingstep.traffic..",
                        "org.lacewingstep.peer..",
                        "org.lacewingstep.etcd..",
                        "org.lacewingstep.platform..",
                        "org.lacewingstep.upstream..")
                .check(productionClasses);
    }

    @Test
    void decisionsReadNoClock() {
        noClasses()
                .that()
                .resideInAnyPackage(DECISION_PACKAGES)
                .should()
                .callMethod(Instant.class, "now")
                .orShould()
                .callMethod(System.class, "nanoTime")
                .orShould()
                .callMethod(System.class, "currentTimeMillis")
                .check(productionClasses);
    }

    @Test
    void noThreadSleepsOrSpins() {
        noClasses()
                .that()
                .resideOutsideOfPackage("org.lacewingstep.standin..")
                .should()
                .callMethod(Thread.class, "sleep", long.class)
                .orShould()
                .callMethod(Thread.class, "onSpinWait")
                .orShould()
                .callMethod(Thread.class, "yield")
                .check(productionClasses);
    }

    @Test
    void topLevelBlackboardClassesAreRecords() {
        classes()
                .that()
                .resideInAPackage("org.lacewingstep.blackboard")
                .and()
                .areTopLevelClasses()
                .and()
                .areNotInterfaces()
                .should()
                .beRecords()
                .check(productionClasses);
    }
}
