package org.lacewingstep.etcd;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.lacewingstep.blackboard.AllowanceSection;
import org.lacewingstep.blackboard.CallParameters;
import org.lacewingstep.blackboard.CallSection;
import org.lacewingstep.blackboard.MembershipSection;
import org.lacewingstep.blackboard.PeerView;
import org.lacewingstep.blackboard.RequestSection;
import org.lacewingstep.blackboard.TeamBudgetSection;
import org.lacewingstep.blackboard.TokenDebits;
import org.lacewingstep.blackboard.TokenRequestSection;
import org.lacewingstep.domain.Route;
import org.lacewingstep.domain.TeamAllowance;

/**
 * Declares the JSON names of record components whose name in the code differs from the name in documents.
 *
 * <p>Readers of stored documents and state dumps depend on these JSON names, so renaming a component must not change
 * them.
 */
final class OuterNames {
    private OuterNames() {}

    /**
     * Adds the JSON names to a mapper.
     *
     * @param mapper the mapper, not null
     * @return the same mapper, never null
     */
    static ObjectMapper register(final ObjectMapper mapper) {
        return mapper.addMixIn(AllowanceSection.class, AllowanceSectionNames.class)
                .addMixIn(RequestSection.Phase.AwaitingPlacement.class, AwaitingPlacementNames.class)
                .addMixIn(CallSection.Call.class, CallNames.class)
                .addMixIn(CallParameters.class, CallParametersNames.class)
                .addMixIn(MembershipSection.class, MembershipSectionNames.class)
                .addMixIn(MembershipSection.MembershipStatus.class, MembershipStatusNames.class)
                .addMixIn(TokenDebits.Part.class, PartNames.class)
                .addMixIn(PeerView.PeerState.class, PeerStateNames.class)
                .addMixIn(TeamBudgetSection.QueuedTokenRequest.class, QueuedTokenRequestNames.class)
                .addMixIn(RequestSection.class, RequestSectionNames.class)
                .addMixIn(RequestSection.RequestState.class, RequestStateNames.class)
                .addMixIn(Route.class, RouteNames.class)
                .addMixIn(TeamAllowance.class, TeamAllowanceNames.class)
                .addMixIn(TokenDebits.class, TokenDebitsNames.class)
                .addMixIn(TokenRequestSection.TokenQuery.class, TokenQueryNames.class)
                .addMixIn(TokenRequestSection.class, TokenRequestSectionNames.class);
    }

    private interface AllowanceSectionNames {
        @JsonProperty("repeats")
        Object retryBudgets();
    }

    private interface AwaitingPlacementNames {
        @JsonProperty("asked")
        Object triedCells();
    }

    private interface CallNames {
        @JsonProperty("demand")
        Object parameters();
    }

    private interface CallParametersNames {
        @JsonProperty("patience")
        Object waitLimit();
    }

    private interface MembershipSectionNames {
        @JsonProperty("standing")
        Object status();
    }

    private interface MembershipStatusNames {
        @JsonProperty("vouchedUntil")
        Object confirmedUntil();

        @JsonProperty("provenUntil")
        Object peersConfirmedUntil();
    }

    private interface PartNames {
        @JsonProperty("home")
        Object shardOwner();
    }

    private interface PeerStateNames {
        @JsonProperty("provenAt")
        Object confirmedAt();
    }

    private interface QueuedTokenRequestNames {
        @JsonProperty("question")
        Object query();

        @JsonProperty("asker")
        Object requester();
    }

    private interface RequestSectionNames {
        @JsonProperty("retryCredit")
        Object retryCredits();
    }

    private interface RequestStateNames {
        @JsonProperty("demand")
        Object parameters();
    }

    private interface RouteNames {
        @JsonProperty("homes")
        Object allowedRegions();
    }

    private interface TeamAllowanceNames {
        @JsonProperty("homes")
        Object allowedRegions();
    }

    private interface TokenDebitsNames {
        @JsonProperty("askedAt")
        Object requestedAt();
    }

    private interface TokenQueryNames {
        @JsonProperty("home")
        Object shardOwner();
    }

    private interface TokenRequestSectionNames {
        @JsonProperty("nextQuestion")
        Object nextQuery();

        @JsonProperty("questions")
        Object queries();
    }
}
