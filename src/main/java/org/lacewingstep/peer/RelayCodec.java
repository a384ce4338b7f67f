package org.lacewingstep.peer;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.lacewingstep.blackboard.PeerMessage;
import org.lacewingstep.blackboard.StoreChange;
import org.lacewingstep.domain.FailureDomainName;
import org.lacewingstep.domain.Incarnation;
import org.lacewingstep.domain.InstanceName;
import org.lacewingstep.domain.PeerAddress;
import org.lacewingstep.domain.RegisteredUpstream;
import org.lacewingstep.domain.RolePlan;
import org.lacewingstep.domain.RolloutOrder;
import org.lacewingstep.domain.RolloutPlan;
import org.lacewingstep.domain.ServiceName;
import org.lacewingstep.domain.StoreRevision;
import org.lacewingstep.domain.UpstreamName;
import org.lacewingstep.domain.UpstreamRole;
import org.lacewingstep.domain.VersionName;
import org.lacewingstep.peer.wire.WireLoadDigest;
import org.lacewingstep.peer.wire.WireLoadReport;
import org.lacewingstep.peer.wire.WireRegisteredUpstream;
import org.lacewingstep.peer.wire.WireRoleChange;
import org.lacewingstep.peer.wire.WireRolePlan;
import org.lacewingstep.peer.wire.WireRolloutOrder;
import org.lacewingstep.peer.wire.WireRolloutPlan;
import org.lacewingstep.peer.wire.WireStoreChange;
import org.lacewingstep.peer.wire.WireStoreUpdate;
import org.lacewingstep.peer.wire.WireUpstreamDepartures;

/** Converts the messages that relays pass on to and from their Thrift structs. */
final class RelayCodec {
    private RelayCodec() {}

    static WireLoadDigest encodeDigest(final PeerMessage.LoadDigest digest) {
        final List<WireLoadReport> reports = new ArrayList<>();
        digest.reports()
                .forEach((origin, load) -> reports.add(new WireLoadReport(
                        origin.instance().value(), origin.number(), RecordCodec.encodeSiteLoad(load))));
        return new WireLoadDigest(reports);
    }

    static PeerMessage decodeDigest(final WireLoadDigest wire) {
        final Map<Incarnation, PeerMessage.SiteLoad> reports = new HashMap<>();
        wire.getReports()
                .forEach(report -> reports.put(
                        new Incarnation(new InstanceName(report.getInstance()), report.getIncarnation()),
                        RecordCodec.decodeSiteLoad(report.getLoad())));
        return new PeerMessage.LoadDigest(reports);
    }

    static WireStoreUpdate encodeUpdate(final PeerMessage.StoreUpdate update) {
        return new WireStoreUpdate(
                update.number(),
                update.tableRevision().toLong(),
                update.revision().toLong(),
                update.complete(),
                update.changes().stream().map(RelayCodec::encodeChange).toList());
    }

    static PeerMessage decodeUpdate(final WireStoreUpdate wire) {
        return new PeerMessage.StoreUpdate(
                wire.getNumber(),
                StoreRevision.fromLong(wire.getTableRevision()),
                StoreRevision.fromLong(wire.getRevision()),
                wire.isComplete(),
                wire.getChanges().stream().map(RelayCodec::decodeChange).toList());
    }

    static WireUpstreamDepartures encodeDepartures(final PeerMessage.UpstreamDepartures departures) {
        return new WireUpstreamDepartures(
                departures.revision().toLong(),
                departures.changes().stream().map(RelayCodec::encodeChange).toList());
    }

    static PeerMessage decodeDepartures(final WireUpstreamDepartures wire) {
        return new PeerMessage.UpstreamDepartures(
                StoreRevision.fromLong(wire.getRevision()),
                wire.getChanges().stream().map(RelayCodec::decodeChange).toList());
    }

    private static WireStoreChange encodeChange(final StoreChange change) {
        return switch (change) {
            case StoreChange.UpstreamRegistered(var upstream) ->
                WireStoreChange.upstreamRegistered(encodeUpstream(upstream));
            case StoreChange.UpstreamUnregistered(var upstream) ->
                WireStoreChange.upstreamUnregistered(upstream.value());
            case StoreChange.InstanceRegistered(var member) ->
                WireStoreChange.instanceRegistered(RecordCodec.encodeMember(member));
            case StoreChange.InstanceUnregistered(var instance) ->
                WireStoreChange.instanceUnregistered(instance.value());
            case StoreChange.DomainOutOfService(var domain) -> WireStoreChange.domainOutOfService(domain.value());
            case StoreChange.DomainInService(var domain) -> WireStoreChange.domainInService(domain.value());
            case StoreChange.RolePlanChanged(var plan, StoreRevision revision) ->
                WireStoreChange.rolePlan(encodePlan(plan, revision.toLong()));
            case StoreChange.RolloutOrdered(var order) -> WireStoreChange.rolloutOrder(encodeOrder(order));
            case StoreChange.RolloutWithdrawn(var service) -> WireStoreChange.rolloutWithdrawn(service.value());
            case StoreChange.RolloutPlanChanged(var plan, StoreRevision revision) ->
                WireStoreChange.rolloutPlan(encodeRolloutPlan(plan, revision.toLong()));
            case StoreChange.TableWritten table ->
                throw new IllegalArgumentException("relays pass no routing tables on");
        };
    }

    private static StoreChange decodeChange(final WireStoreChange wire) {
        return switch (wire.getSetField()) {
            case UPSTREAM_REGISTERED ->
                new StoreChange.UpstreamRegistered(decodeUpstream(wire.getUpstreamRegistered()));
            case UPSTREAM_UNREGISTERED ->
                new StoreChange.UpstreamUnregistered(new UpstreamName(wire.getUpstreamUnregistered()));
            case INSTANCE_REGISTERED ->
                new StoreChange.InstanceRegistered(RecordCodec.decodeMember(wire.getInstanceRegistered()));
            case INSTANCE_UNREGISTERED ->
                new StoreChange.InstanceUnregistered(new InstanceName(wire.getInstanceUnregistered()));
            case DOMAIN_OUT_OF_SERVICE ->
                new StoreChange.DomainOutOfService(new FailureDomainName(wire.getDomainOutOfService()));
            case DOMAIN_IN_SERVICE -> new StoreChange.DomainInService(new FailureDomainName(wire.getDomainInService()));
            case ROLE_PLAN ->
                new StoreChange.RolePlanChanged(
                        decodePlan(wire.getRolePlan()),
                        StoreRevision.fromLong(wire.getRolePlan().getRevision()));
            case ROLLOUT_ORDER -> new StoreChange.RolloutOrdered(decodeOrder(wire.getRolloutOrder()));
            case ROLLOUT_WITHDRAWN -> new StoreChange.RolloutWithdrawn(new ServiceName(wire.getRolloutWithdrawn()));
            case ROLLOUT_PLAN ->
                new StoreChange.RolloutPlanChanged(
                        decodeRolloutPlan(wire.getRolloutPlan()),
                        StoreRevision.fromLong(wire.getRolloutPlan().getRevision()));
        };
    }

    private static WireRegisteredUpstream encodeUpstream(final RegisteredUpstream upstream) {
        final WireRegisteredUpstream wire = new WireRegisteredUpstream(
                upstream.name().value(),
                upstream.startedAtMillis(),
                upstream.service().value(),
                upstream.address().host(),
                upstream.address().port(),
                upstream.failureDomain().value(),
                upstream.role().ordinal(),
                upstream.slots(),
                upstream.draining(),
                upstream.coldFor().toMillis());
        return wire.setVersion(upstream.version().value());
    }

    private static RegisteredUpstream decodeUpstream(final WireRegisteredUpstream wire) {
        return new RegisteredUpstream(
                new UpstreamName(wire.getName()),
                wire.getStartedAtMilliseconds(),
                new ServiceName(wire.getServiceName()),
                new PeerAddress(wire.getHost(), wire.getPort()),
                new FailureDomainName(wire.getFailureDomain()),
                RecordCodec.constantAt(UpstreamRole.values(), wire.getRole()),
                wire.getSlots(),
                wire.isDraining(),
                Duration.ofMillis(wire.getColdMilliseconds()),
                wire.isSetVersion() ? new VersionName(wire.getVersion()) : VersionName.UNNAMED);
    }

    private static WireRolloutOrder encodeOrder(final RolloutOrder order) {
        return new WireRolloutOrder(
                order.service().value(), order.target().value(), order.limit().toMillis(), order.revision());
    }

    private static RolloutOrder decodeOrder(final WireRolloutOrder wire) {
        return new RolloutOrder(
                new ServiceName(wire.getServiceName()),
                new VersionName(wire.getTarget()),
                Duration.ofMillis(wire.getLimitMilliseconds()),
                wire.getRevision());
    }

    private static WireRolloutPlan encodeRolloutPlan(final RolloutPlan plan, final long revision) {
        return new WireRolloutPlan(
                plan.service().value(),
                plan.target().value(),
                plan.order(),
                plan.stage().ordinal(),
                plan.startedAt().toEpochMilli(),
                plan.tally().requests(),
                plan.tally().exposed(),
                plan.tally().bad(),
                plan.author().value(),
                revision);
    }

    private static RolloutPlan decodeRolloutPlan(final WireRolloutPlan wire) {
        return new RolloutPlan(
                new ServiceName(wire.getServiceName()),
                new VersionName(wire.getTarget()),
                wire.getOrder(),
                RecordCodec.constantAt(RolloutPlan.Stage.values(), wire.getStage()),
                Instant.ofEpochMilli(wire.getStartedAtMilliseconds()),
                new RolloutPlan.Tally(wire.getRequests(), wire.getExposed(), wire.getBad()),
                new InstanceName(wire.getAuthor()));
    }

    private static WireRolePlan encodePlan(final RolePlan plan, final long revision) {
        final List<WireRoleChange> changes = new ArrayList<>();
        plan.changes()
                .forEach((name, change) -> changes.add(
                        new WireRoleChange(name.value(), change.role().ordinal(), change.startedAtMillis())));
        return new WireRolePlan(plan.author().value(), changes, revision);
    }

    private static RolePlan decodePlan(final WireRolePlan wire) {
        final Map<UpstreamName, RolePlan.Change> changes = new HashMap<>();
        wire.getChanges()
                .forEach(change -> changes.put(
                        new UpstreamName(change.getUpstream()),
                        new RolePlan.Change(
                                RecordCodec.constantAt(UpstreamRole.values(), change.getRole()),
                                change.getStartedAtMilliseconds())));
        return new RolePlan(new InstanceName(wire.getAuthor()), changes);
    }
}
