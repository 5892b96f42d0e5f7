package trestleline;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.Architectures.layeredArchitecture;

import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.ArchRule;

/** Checks the dependencies between packages and that the deciding packages use no I/O, clock or threads. */
@AnalyzeClasses(packages = "trestleline", importOptions = ImportOption.DoNotIncludeTests.class)
class ArchitectureTest {
    private static final String[] IO = {
        "io.vertx..", "io.netty..", "java.net..", "java.nio.file..", "java.util.concurrent.."
    };

    @ArchTest
    static final ArchRule layers = layeredArchitecture()
            .consideringOnlyDependenciesInLayers()
            .layer("module")
            .definedBy("trestleline.placement")
            .layer("simulator")
            .definedBy("trestleline.simulator")
            .layer("core")
            .definedBy("trestleline.core")
            .layer("cmcd")
            .definedBy("trestleline.cmcd")
            .layer("media")
            .definedBy("trestleline.media")
            .layer("config")
            .definedBy("trestleline.config")
            .layer("conformance")
            .definedBy("trestleline.conformance")
            .layer("hosts")
            .definedBy("trestleline.hosts")
            .layer("discovery")
            .definedBy("trestleline.discovery")
            .layer("http")
            .definedBy("trestleline.http")
            .layer("daemon")
            .definedBy("trestleline.daemon")
            .layer("emulation")
            .definedBy("trestleline.emulation")
            .layer("scenario")
            .definedBy("trestleline.scenario")
            .layer("benchmark")
            .definedBy("trestleline.benchmark")
            .layer("ledger")
            .definedBy("trestleline.ledger")
            .layer("store")
            .definedBy("trestleline.ledger.store")
            .layer("billing")
            .definedBy("trestleline.billing")
            .layer("settings")
            .definedBy("trestleline.settings")
            .layer("codec")
            .definedBy("trestleline.codec")
            .layer("signaling")
            .definedBy("trestleline.signaling")
            .layer("rtsp")
            .definedBy("trestleline.rtsp")
            .layer("feed")
            .definedBy("trestleline.feed")
            .layer("node")
            .definedBy("trestleline.node")
            .layer("eventloop")
            .definedBy("trestleline.eventloop")
            .layer("cli")
            .definedBy("trestleline.cli")
            .whereLayer("module")
            .mayNotAccessAnyLayer()
            .whereLayer("cmcd")
            .mayNotAccessAnyLayer()
            .whereLayer("media")
            .mayNotAccessAnyLayer()
            .whereLayer("conformance")
            .mayNotAccessAnyLayer()
            .whereLayer("settings")
            .mayOnlyAccessLayers("module")
            .whereLayer("simulator")
            .mayOnlyAccessLayers("module", "settings")
            .whereLayer("codec")
            .mayNotAccessAnyLayer()
            .whereLayer("signaling")
            .mayOnlyAccessLayers("module", "core", "codec")
            .whereLayer("rtsp")
            .mayOnlyAccessLayers("module", "core", "hosts", "codec")
            .whereLayer("feed")
            .mayOnlyAccessLayers("module", "core", "discovery")
            .whereLayer("node")
            .mayOnlyAccessLayers("module", "core", "settings", "signaling", "rtsp", "feed", "discovery", "eventloop")
            .whereLayer("eventloop")
            .mayOnlyAccessLayers("core")
            .whereLayer("core")
            .mayOnlyAccessLayers("module")
            .whereLayer("config")
            .mayOnlyAccessLayers("module", "media")
            .whereLayer("hosts")
            .mayOnlyAccessLayers("module", "core", "cmcd")
            .whereLayer("discovery")
            .mayOnlyAccessLayers("module", "core", "config", "hosts")
            .whereLayer("http")
            .mayOnlyAccessLayers("module", "core", "config", "cmcd", "hosts", "media")
            .whereLayer("daemon")
            .mayOnlyAccessLayers(
                    "module", "core", "config", "hosts", "discovery", "http", "billing", "ledger", "store", "eventloop")
            .whereLayer("emulation")
            .mayOnlyAccessLayers("module", "cmcd", "media", "conformance", "discovery", "ledger")
            .whereLayer("scenario")
            .mayOnlyAccessLayers(
                    "module", "core", "config", "conformance", "emulation", "daemon", "discovery", "ledger")
            .whereLayer("ledger")
            .mayNotAccessAnyLayer()
            .whereLayer("store")
            .mayOnlyAccessLayers("ledger")
            .whereLayer("billing")
            .mayOnlyAccessLayers("core", "hosts", "ledger", "store", "module")
            .whereLayer("benchmark")
            .mayOnlyAccessLayers(
                    "module",
                    "core",
                    "config",
                    "daemon",
                    "discovery",
                    "media",
                    "emulation",
                    "hosts",
                    "ledger",
                    "store",
                    "billing")
            .whereLayer("cli")
            .mayOnlyAccessLayers(
                    "benchmark",
                    "ledger",
                    "store",
                    "core",
                    "config",
                    "daemon",
                    "emulation",
                    "scenario",
                    "simulator",
                    "node",
                    "settings");

    /** The placement module can be used on its own: it depends on no other package of the project. */
    @ArchTest
    static final ArchRule theModuleDependsOnNoOtherPackage = noClasses()
            .that()
            .resideInAPackage("trestleline.placement")
            .should()
            .dependOnClassesThat()
            .resideOutsideOfPackages("trestleline.placement", "java.lang..", "java.util", "java.util.function");

    @ArchTest
    static final ArchRule coreAndConformanceDoNoIo = noClasses()
            .that()
            .resideInAnyPackage(
                    "trestleline.core",
                    "trestleline.conformance",
                    "trestleline.cmcd",
                    "trestleline.media",
                    "trestleline.ledger")
            .should()
            .dependOnClassesThat()
            .resideInAnyPackage("io.vertx..", "io.netty..", "java.nio.file..", "java.util.concurrent..");

    @ArchTest
    static final ArchRule theModuleDoesNoIo = noClasses()
            .that()
            .resideInAPackage("trestleline.placement")
            .should()
            .dependOnClassesThat()
            .resideInAnyPackage(IO);

    /**
     * Only tests inject faults: the program itself contains no implementation of the seams other than the default,
     * which changes nothing.
     */
    @ArchTest
    static final ArchRule onlyTestsImplementComponentHooks = noClasses()
            .that()
            .doNotHaveFullyQualifiedName("trestleline.daemon.ComponentHooks$1")
            .should()
            .implement("trestleline.daemon.ComponentHooks");

    @ArchTest
    static final ArchRule gatewaysDoNotDependOnEmulation = noClasses()
            .that()
            .resideInAnyPackage(
                    "trestleline.core",
                    "trestleline.hosts",
                    "trestleline.discovery",
                    "trestleline.http",
                    "trestleline.daemon",
                    "trestleline.signaling",
                    "trestleline.rtsp",
                    "trestleline.feed",
                    "trestleline.node",
                    "trestleline.eventloop")
            .should()
            .dependOnClassesThat()
            .resideInAnyPackage("trestleline.emulation", "trestleline.scenario", "trestleline.conformance");
}
