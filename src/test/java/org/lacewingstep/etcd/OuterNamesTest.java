package org.lacewingstep.etcd;

import java.io.IOException;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import com.fasterxml.jackson.databind.ObjectMapper;
import org.junit.jupiter.api.Test;
import org.lacewingstep.blackboard.AllowanceSection;
import org.lacewingstep.blackboard.CallParameters;
import org.lacewingstep.blackboard.CallSection;
import org.lacewingstep.blackboard.MembershipSection;
import org.lacewingstep.blackboard.PeerView;
import org.lacewingstep.blackboard.RequestParameters;
import org.lacewingstep.blackboard.RequestSection;
import org.lacewingstep.blackboard.TeamBudgetSection;
import org.lacewingstep.blackboard.TokenDebits;
import org.lacewingstep.blackboard.TokenRequestSection;
import org.lacewingstep.domain.CellName;
import org.lacewingstep.domain.Incarnation;
import org.lacewingstep.domain.InstanceName;
import org.lacewingstep.domain.RegionName;
import org.lacewingstep.domain.RequestIdentifier;
import org.lacewingstep.domain.Route;
import org.lacewingstep.domain.RouteKind;
import org.lacewingstep.domain.RouteTarget;
import org.lacewingstep.domain.ServiceName;
import org.lacewingstep.domain.ServiceSelector;
import org.lacewingstep.domain.TeamAllowance;
import org.lacewingstep.domain.TeamName;
import org.lacewingstep.domain.Urgency;
import org.pcollections.HashTreePSet;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests that documents keep the JSON names and the order of record components that are named otherwise in the code. */
class OuterNamesTest {
    private static final Incarnation PROCESS = new Incarnation(new InstanceName("instance"), 1);
    private static final RequestIdentifier REQUEST = new RequestIdentifier("request");
    private static final ServiceName SERVICE = new ServiceName("service");
    private static final TeamName TEAM = new TeamName("team");
    private static final Route ROUTE = new Route(
            "route",
            "host.example",
            "/",
            new RouteKind.Idempotent(),
            Duration.ofSeconds(1),
            Duration.ofSeconds(1),
            1,
            true,
            List.of(new RouteTarget(SERVICE, 1)),
            Set.of(new RegionName("region")));
    private static final CallParameters CALL_PARAMETERS = new CallParameters(
            REQUEST,
            "host.example",
            "/",
            Optional.empty(),
            Optional.empty(),
            List.of(),
            Duration.ofSeconds(1),
            Instant.EPOCH);
    private static final RequestParameters REQUEST_PARAMETERS = new RequestParameters(
            REQUEST, new ServiceSelector.ByPath("/"), Optional.empty(), Optional.empty(), 1, 1, Instant.EPOCH);

    @Test
    void allowancesKeepTheirNames() throws IOException {
        assertNames(AllowanceSection.INITIAL, "tableRevision", "teams", "repeats", "spent", "peers");
        assertNames(
                new TeamAllowance(TEAM, 1, 1, true, 1, Set.of()),
                "team",
                "unitsPerSecond",
                "burst",
                "countsTokens",
                "plainUnits",
                "homes",
                "priority",
                "limited");
    }

    @Test
    void callsKeepTheirNames() throws IOException {
        assertNames(
                CALL_PARAMETERS,
                "request",
                "host",
                "path",
                "key",
                "tokens",
                "promptParts",
                "segments",
                "patience",
                "receivedAt");
        assertNames(
                new CallSection.Call(
                        CALL_PARAMETERS,
                        ROUTE,
                        SERVICE,
                        Optional.empty(),
                        Set.of(),
                        Urgency.DEFAULT,
                        1,
                        Instant.EPOCH,
                        0,
                        Set.of(),
                        Optional.empty(),
                        false,
                        new CallSection.CallPhase.Queued(Instant.EPOCH)),
                "demand",
                "route",
                "service",
                "team",
                "teamRegions",
                "urgency",
                "units",
                "deadline",
                "attempts",
                "tried",
                "promptReadyAt",
                "mayHaveRun",
                "phase");
    }

    @Test
    void decodedComponentIsReadByItsJsonName() {
        final byte[] document = DocumentCodec.encode(new TokenDebits.Part(PROCESS, 2, 3, 4));

        assertThat(DocumentCodec.decode(document, TokenDebits.Part.class))
                .isEqualTo(new TokenDebits.Part(PROCESS, 2, 3, 4));
    }

    @Test
    void membershipKeepsItsNames() throws IOException {
        assertNames(MembershipSection.INITIAL, "agreement", "standing", "peerView", "platformView");
        assertNames(
                MembershipSection.MembershipStatus.NONE,
                "leaseIdentifier",
                "vouchedUntil",
                "provenUntil",
                "writeUntil");
        assertNames(
                PeerView.PeerState.UNHEARD,
                "heardAt",
                "epoch",
                "acknowledgedEpoch",
                "settledEpoch",
                "lastNumber",
                "provenAt");
    }

    @Test
    void requestsKeepTheirNames() throws IOException {
        assertNames(RequestSection.INITIAL, "requests", "retryCredit");
        assertNames(
                RequestSection.RequestState.begin(REQUEST_PARAMETERS, SERVICE, Optional.empty()),
                "demand",
                "service",
                "team",
                "debits",
                "attempts",
                "everSent",
                "claimed",
                "avoided",
                "progress",
                "phase");
        assertNames(
                new RequestSection.Phase.AwaitingPlacement(new CellName("cell"), HashTreePSet.empty(), false),
                "kind",
                "cell",
                "asked",
                "queued");
    }

    @Test
    void routeKeepsItsNames() throws IOException {
        assertNames(
                ROUTE,
                "name",
                "host",
                "pathPrefix",
                "kind",
                "timeLimit",
                "latencyTarget",
                "attemptLimit",
                "open",
                "targets",
                "homes",
                "priority");
    }

    @Test
    void tokenRequestsKeepTheirNames() throws IOException {
        assertNames(TokenRequestSection.INITIAL, "searches", "questions", "abandoned", "nextQuestion");
        assertNames(
                new TokenRequestSection.TokenQuery(1, REQUEST, TEAM, 2, PROCESS, 3),
                "number",
                "request",
                "team",
                "slot",
                "home",
                "tokens");
        assertNames(TokenDebits.NONE, "askedAt", "parts");
        assertNames(new TokenDebits.Part(PROCESS, 2, 3, 4), "home", "slot", "number", "tokens");
        assertNames(
                new TeamBudgetSection.QueuedTokenRequest(PROCESS, 1, 2, Instant.EPOCH),
                "asker",
                "question",
                "tokens",
                "until");
    }

    private static void assertNames(final Object document, final String... names) throws IOException {
        final List<String> actual = new ArrayList<>();
        new ObjectMapper().readTree(DocumentCodec.encode(document)).fieldNames().forEachRemaining(actual::add);

        assertThat(actual).containsExactly(names);
    }
}
