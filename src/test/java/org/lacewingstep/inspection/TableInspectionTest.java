package org.lacewingstep.inspection;

import java.util.List;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.lacewingstep.domain.RoutingTable;
import org.lacewingstep.platform.RoutingDocument;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests each finding about a routing table, and each difference between two tables, with one changed entry. */
class TableInspectionTest {
    private static final String DOCUMENT =
            """
            {"version":7,"routes":[
            {"name":"one","host":"a.example","pathPrefix":"/a/","kind":"streaming","timeoutMs":14000,
            "targetLatencyMs":900,"maxAttempts":2,"resumable":true,"gapAimMs":300,"service":"s",
            "allowedRegions":["north"]},
            {"name":"two","host":"a.example","pathPrefix":"/b/","kind":"safe","timeoutMs":1000,
            "targetLatencyMs":200,"maxAttempts":2,"trafficSplit":[{"service":"s","weight":9},
            {"service":"t","weight":1}]}],
            "services":[{"name":"s","maxConnections":610,"coldPerS":8,"engine":{"kvTokens":30000,"holdMs":2000}},
            {"name":"t","maxConnections":100}],
            "limits":{"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
            "tenants":[{"name":"team","apiKeys":["k1","k2"],"ratePerS":500,"burst":500,"unit":"token_stream",
            "plainTokens":200,"allowedRegions":["north"]}]}""";

    private static final String NEWER = DOCUMENT.replace("\"version\":7", "\"version\":8");

    @Test
    void soundTableHasNoFindings() {
        assertThat(TableInspection.inspect(table(DOCUMENT))).isEmpty();
        assertThat(TableComparison.compare(table(DOCUMENT), table(NEWER))).isEmpty();
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "\"/b/\" | \"/a/\" | route two | comes first",
                "\"weight\":1 | \"weight\":0 | route two | has the weight zero",
                "\"weight\":9},{\"service\":\"t\",\"weight\":1 | \"weight\":0},{\"service\":\"t\",\"weight\":0"
                        + " | route two | weights of all targets",
                "\"name\":\"two\" | \"name\":\"one\" | route one | more than one route",
                "\"service\":\"t\",\"weight\" | \"service\":\"u\",\"weight\" | route two | is not declared",
                "\"service\":\"t\",\"weight\" | \"service\":\"s\",\"weight\" | service t | no route",
                "\"targetLatencyMs\":900 | \"targetLatencyMs\":15000 | route one | exceeds the time limit",
                "\"gapAimMs\":300 | \"gapAimMs\":15000 | route one | longest pause",
                "\"maxAttempts\":2,\"resumable\" | \"maxAttempts\":1,\"resumable\" | route one | one attempt only",
                "\"coldPerS\":8 | \"coldPerS\":0.5 | service s | less than one request a second",
                "\"kvTokens\":30000 | \"kvTokens\":0 | service s | declares none",
                "\"headerTimeoutMs\":3000 | \"headerTimeoutMs\":30000 | limits | longer than a connection",
                "\"apiKeys\":[\"k1\",\"k2\"] | \"apiKeys\":[] | team team | no key",
                "\"burst\":500 | \"burst\":100 | team team | less than one request",
                "\"ratePerS\":500 | \"ratePerS\":0 | team team | spent once",
                "\"plainTokens\":200,\"allowedRegions\":[\"north\"] | \"allowedRegions\":[\"south\"]"
                        + " | team team | shares no region"
            })
    void faultIsFound(final String sound, final String faulty, final String place, final String message) {
        final List<Finding> findings = TableInspection.inspect(table(replace(sound, faulty)));

        assertThat(findings)
                .anyMatch(finding ->
                        finding.place().equals(place) && finding.message().contains(message));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "\"version\":8 | \"version\":7 | version | not newer | true",
                "\"name\":\"two\" | \"name\":\"three\" | route two | removed | true",
                "\"name\":\"two\" | \"name\":\"three\" | route three | added | false",
                "\"/b/\" | \"/c/\" | route two | path prefix | true",
                "\"weight\":1 | \"weight\":3 | route two | targets | true",
                "\"timeoutMs\":14000 | \"timeoutMs\":9000 | route one | time limit: 14000 ms -> 9000 ms | true",
                "\"timeoutMs\":14000 | \"timeoutMs\":20000 | route one | time limit | false",
                "\"maxConnections\":100 | \"maxConnections\":50 | service t | connection limit | true",
                "\"ratePerS\":500 | \"ratePerS\":400 | team team | rate | true",
                "\"ratePerS\":500,\"burst\":500 | \"ratePerS\":0,\"burst\":0 | team team | no longer limited | false",
                "\"apiKeys\":[\"k1\",\"k2\"] | \"apiKeys\":[\"k1\"] | team team | keys withdrawn: 1 | true",
                "\"apiKeys\":[\"k1\",\"k2\"] | \"apiKeys\":[\"k1\",\"k2\",\"k3\"] | team team | keys added: 1 | false",
                "\"maxBodyBytes\":4194304 | \"maxBodyBytes\":1024 | limits | body bytes | true"
            })
    void differenceIsFound(
            final String present,
            final String next,
            final String place,
            final String message,
            final boolean restricts) {
        assertThat(TableComparison.compare(table(DOCUMENT), table(NEWER.replace(present, next))))
                .anyMatch(difference -> difference.place().equals(place)
                        && difference.message().contains(message)
                        && difference.restricts() == restricts);
    }

    private static String replace(final String sound, final String faulty) {
        final String text = DOCUMENT.replace("\n", "");
        final String changed = text.replace(sound, faulty);
        assertThat(changed).as("the entry stands in the document").isNotEqualTo(text);
        return changed;
    }

    private static RoutingTable table(final String document) {
        return RoutingDocument.parse("new.json", document).table();
    }
}
