package org.lacewingstep.controller;

import java.time.Instant;
import java.util.Optional;

import org.lacewingstep.blackboard.Blackboard;
import org.lacewingstep.blackboard.LifecycleSection.Stage;
import org.lacewingstep.blackboard.Refusal;
import org.lacewingstep.blackboard.RequestParameters;
import org.lacewingstep.domain.Access;
import org.lacewingstep.domain.Service;
import org.lacewingstep.domain.ServiceKind;
import org.lacewingstep.domain.Team;
import org.lacewingstep.domain.TeamName;
import org.lacewingstep.error.ErrorCode;

/** Decides by the configuration in force whether a request is admitted, before tokens are requested from a budget. */
final class Admission {
    private Admission() {}

    /**
     * Checks the state of this instance, the service, the access and the token count of a request.
     *
     * @param board the blackboard, not null
     * @param parameters the parameters of the request, not null
     * @param now the present time, not null
     * @return the decision, never null
     */
    static AdmissionDecision check(final Blackboard board, final RequestParameters parameters, final Instant now) {
        final Optional<Refusal> closed = checkInstance(board);
        if (closed.isPresent()) {
            return new AdmissionDecision.Refused(closed.get());
        }
        final Optional<Service> service = board.configuration().inForce().findService(parameters.selector());
        if (service.isEmpty()) {
            return refused(ErrorCode.SERVICE_UNKNOWN, "no service answers to this model or path");
        }
        final Optional<Team> team =
                parameters.key().flatMap(board.configuration().inForce()::teamOf);
        final Optional<Refusal> forbidden = checkAccess(board, service.get(), team, now);
        if (forbidden.isPresent()) {
            return new AdmissionDecision.Refused(forbidden.get());
        }
        return checkTokens(board, parameters, service.get(), team);
    }

    private static Optional<Refusal> checkInstance(final Blackboard board) {
        if (board.configuration().inForce().generation() == 0) {
            return Optional.of(Refusal.of(ErrorCode.NOT_READY, "no configuration is in force yet"));
        }
        if (board.lifecycle().stage() instanceof Stage.Leaving
                || board.lifecycle().stage() instanceof Stage.Stopped) {
            return Optional.of(Refusal.of(ErrorCode.INSTANCE_DRAINING, "this instance is stopping"));
        }
        if (board.requests().requests().size() >= board.identity().policy().requestsLimit()) {
            return Optional.of(Refusal.of(ErrorCode.NO_CAPACITY, "this instance works on too many requests"));
        }
        return Optional.empty();
    }

    /**
     * Checks whether a team may use a service now. The check is repeated whenever a request is dispatched.
     *
     * @param board the blackboard, not null
     * @param service the service that the request selects, not null
     * @param team the team of the key, empty if the key is missing or not granted
     * @param now the present time, not null
     * @return the refusal if the team may not use the service, empty otherwise
     */
    static Optional<Refusal> checkAccess(
            final Blackboard board, final Service service, final Optional<Team> team, final Instant now) {
        if (service.access() instanceof Access.OpenToAll) {
            return Optional.empty();
        }
        if (isIsolated(board, now)) {
            return Optional.of(
                    Refusal.of(ErrorCode.NOT_READY, "this instance is cut off and cannot tell which keys are granted"));
        }
        if (team.isEmpty()) {
            return Optional.of(Refusal.of(ErrorCode.KEY_UNKNOWN, "the key is missing or not granted"));
        }
        if (!service.access().permits(team.get().name())) {
            return Optional.of(Refusal.of(ErrorCode.ROUTE_FORBIDDEN, "the key's team may not use this service"));
        }
        return Optional.empty();
    }

    /**
     * Checks whether this instance is cut off from the store, the platform's instance list and all peers, so that it
     * could miss the withdrawal of a key.
     */
    private static boolean isIsolated(final Blackboard board, final Instant now) {
        final Instant limit = now.minus(board.identity().policy().isolationLimit());
        final boolean confirmed =
                board.configuration().confirmedAt().filter(limit::isBefore).isPresent();
        final boolean membershipConfirmed = board.membership().status().isConfirmed(now);
        final boolean peerHeard = board.membership().others(board.identity().incarnation()).stream()
                .anyMatch(member -> board.membership()
                        .peerView()
                        .isRecentlyHeard(
                                member.incarnation(), board.identity().policy().isolationLimit(), now));
        return !confirmed && !membershipConfirmed && !peerHeard;
    }

    private static AdmissionDecision checkTokens(
            final Blackboard board,
            final RequestParameters parameters,
            final Service service,
            final Optional<Team> team) {
        final long tokens =
                switch (service.kind()) {
                    case ServiceKind.Model model -> parameters.totalTokens();
                    case ServiceKind.Plain plain -> plain.tokensPerCall();
                };
        final boolean model = service.kind() instanceof ServiceKind.Model;
        if (model && (parameters.outputTokens() <= 0 || parameters.promptTokens() <= 0)) {
            return refused(ErrorCode.TOKENS_INVALID, "a prompt and at least one output token are needed");
        }
        if (tokens > board.identity().policy().maximumTokens()) {
            return refused(ErrorCode.TOKENS_INVALID, "prompt and output exceed the largest request allowed");
        }
        final boolean exceedsBurst = team.isPresent()
                && tokens
                        > BudgetShare.largestRequest(
                                team.get(), board.identity().policy());
        if (exceedsBurst) {
            return refused(ErrorCode.TOKENS_INVALID, "prompt and output exceed the team's burst");
        }
        return new AdmissionDecision.Admitted(service, team.map(Team::name), tokens);
    }

    private static AdmissionDecision refused(final ErrorCode code, final String message) {
        return new AdmissionDecision.Refused(Refusal.of(code, message));
    }

    /** Result of the admission check. */
    sealed interface AdmissionDecision {
        /**
         * The request is admitted.
         *
         * @param service the service that the request selects, not null
         * @param payer the team whose budget is debited, empty for a request without a key to a service open to all
         * @param tokens the number of tokens to debit
         */
        record Admitted(Service service, Optional<TeamName> payer, long tokens) implements AdmissionDecision {}

        /**
         * The request is refused without being run.
         *
         * @param refusal the refusal with its reason, not null
         */
        record Refused(Refusal refusal) implements AdmissionDecision {}
    }
}
