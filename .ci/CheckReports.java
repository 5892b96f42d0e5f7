import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import javax.xml.parsers.DocumentBuilderFactory;
import org.w3c.dom.Element;
import org.w3c.dom.NodeList;

/**
 * Decides over the test reports of a build that went on after failures. Exit code 0: all tests passed but those that
 * KNOWN-RED.txt names, which are printed; 1: another test failed, or a test class has no report of a test.
 */
public final class CheckReports {
    private static final List<Path> REPORT_FOLDERS =
            List.of(Path.of("target/surefire-reports"), Path.of("target/failsafe-reports"));

    public static void main(String[] arguments) throws Exception {
        Set<String> known = knownRed(Path.of("KNOWN-RED.txt"));
        Set<String> reported = new TreeSet<>();
        List<String> faults = new ArrayList<>();
        for (Path report : reports()) {
            NodeList cases = DocumentBuilderFactory.newInstance()
                    .newDocumentBuilder()
                    .parse(report.toFile())
                    .getElementsByTagName("testcase");
            for (int i = 0; i < cases.getLength(); i++) {
                Element testCase = (Element) cases.item(i);
                reported.add(report.getFileName().toString().replaceAll("^TEST-|\\.xml$", ""));
                if (!failed(testCase)) continue;
                String name = name(testCase);
                if (known.contains(name)) System.out.println("passed over, known red: " + name);
                else faults.add("failed: " + name);
            }
        }
        for (String testClass : testClasses()) if (!reported.contains(testClass)) faults.add("no report: " + testClass);
        faults.forEach(System.out::println);
        System.exit(faults.isEmpty() ? 0 : 1);
    }

    /** The first field of each entry: class and method, without the package. */
    private static Set<String> knownRed(Path file) throws IOException {
        if (!Files.exists(file)) return Set.of();
        return Files.readAllLines(file).stream()
                .map(line -> line.split("\\|")[0].trim())
                .collect(Collectors.toSet());
    }

    private static List<Path> reports() throws IOException {
        List<Path> reports = new ArrayList<>();
        for (Path folder : REPORT_FOLDERS) {
            try (Stream<Path> files = Files.list(folder)) {
                files.filter(file -> file.getFileName().toString().matches("TEST-.*\\.xml"))
                        .forEach(reports::add);
            }
        }
        return reports;
    }

    private static boolean failed(Element testCase) {
        return testCase.getElementsByTagName("failure").getLength() > 0
                || testCase.getElementsByTagName("error").getLength() > 0;
    }

    private static String name(Element testCase) {
        String className = testCase.getAttribute("classname");
        String method = testCase.getAttribute("name").replaceAll("[^A-Za-z0-9_$].*", "");
        return className.substring(className.lastIndexOf('.') + 1) + "." + method;
    }

    /** The classes that Surefire and Failsafe run by their names. */
    private static List<String> testClasses() throws IOException {
        Path root = Path.of("src/test/java");
        try (Stream<Path> files = Files.walk(root)) {
            return files.map(file -> root.relativize(file).toString())
                    .filter(file -> file.matches(".*(Test|IT)\\.java"))
                    .map(file -> file.replace(".java", "").replace(File.separatorChar, '.'))
                    .toList();
        }
    }
}
