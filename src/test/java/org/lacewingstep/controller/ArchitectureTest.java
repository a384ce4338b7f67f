package org.lacewingstep.controller;

import java.time.Instant;
import java.util.stream.Stream;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.junit.jupiter.api.Test;
import org.lacewingstep.blackboard.Section;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static org.assertj.core.api.Assertions.assertThat;

/** Tests the shape of the code: one writer a section, no input or output and no clock in decisions. */
class ArchitectureTest {
    private static final String[] DECISIONS = {
        "org.lacewingstep.blackboard..", "org.lacewingstep.controller..", "org.lacewingstep.domain.."
    };

    private final JavaClasses product = new ClassFileImporter()
            .withImportOption(new ImportOption.DoNotIncludeTests())
            .importPackages("org.lacewingstep");

    @Test
    void everySectionHasExactlyOneWriter() {
        assertThat(BlackboardStepper.CONTROLLERS)
                .extracting(Controller::section)
                .containsExactlyInAnyOrder(sections(Section.class).toArray(Class[]::new));
    }

    private static Stream<Class<?>> sections(final Class<?> type) {
        return type.isSealed()
                ? Stream.of(type.getPermittedSubclasses()).flatMap(ArchitectureTest::sections)
                : Stream.of(type);
    }

    @Test
    void thePlatformFolderDecidesNothingAndItsNamesStayThere() {
        noClasses()
                .that()
                .resideInAPackage("org.lacewingstep.platform..")
                .should()
                .dependOnClassesThat()
                .resideInAPackage("org.lacewingstep.controller..")
                .check(product);
    }

    @Test
    void decisionsDoNoInputOrOutput() {
        noClasses()
                .that()
                .resideInAnyPackage(DECISIONS)
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
                .check(product);
    }

    @Test
    void decisionsReadNoClock() {
        noClasses()
                .that()
                .resideInAnyPackage(DECISIONS)
                .should()
                .callMethod(Instant.class, "now")
                .orShould()
                .callMethod(System.class, "nanoTime")
                .orShould()
                .callMethod(System.class, "currentTimeMillis")
                .check(product);
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
                .check(product);
    }

    @Test
    void sectionsAndMessagesAreRecordsOrSealed() {
        classes()
                .that()
                .resideInAPackage("org.lacewingstep.blackboard")
                .and()
                .areTopLevelClasses()
                .and()
                .areNotInterfaces()
                .should()
                .beRecords()
                .check(product);
    }
}
