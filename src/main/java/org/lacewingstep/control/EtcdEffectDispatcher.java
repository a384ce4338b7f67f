package org.lacewingstep.control;

import org.lacewingstep.blackboard.Effect;
import org.lacewingstep.etcd.EtcdAdapter;
import org.lacewingstep.peer.PeerNetwork;
import org.lacewingstep.traffic.InstructionRouter;
import org.lacewingstep.upstream.UpstreamAdapter;

/**
 * Dispatches each effect to the adapter that executes it, for a process whose store is etcd.
 *
 * @param instructions delivers instructions to traffic threads, not null
 * @param peers sends messages to peers, not null
 * @param etcd reads and writes the store and the instance list, not null
 * @param upstreams fetches the load of upstreams and cancels attempts, not null
 * @param stopProcess stops the process, not null
 */
public record EtcdEffectDispatcher(
        InstructionRouter instructions,
        PeerNetwork peers,
        EtcdAdapter etcd,
        UpstreamAdapter upstreams,
        Runnable stopProcess)
        implements EffectHandler {
    @Override
    public void handle(final Effect effect) {
        switch (effect) {
            case Effect.StartTimer timer ->
                throw new IllegalArgumentException("timers are started by the control thread");
            case Effect.Instruct(var request, var instruction) -> instructions.deliver(request, instruction);
            case Effect.SendToPeer(var receiver, var message) -> peers.send(receiver, message);
            case Effect.ReadConfiguration(long generation) -> etcd.readConfiguration(generation);
            case Effect.ReadMembership() -> etcd.readMembership();
            case Effect.RenewLease(long lease) -> etcd.renewLease(lease);
            case Effect.WriteRoster(var roster, long revision) -> etcd.writeRoster(roster, revision);
            case Effect.FetchLoad(var upstream) -> upstreams.fetchLoad(upstream);
            case Effect.CancelAttempt(var upstream, var attempt) -> upstreams.cancel(upstream, attempt);
            case Effect.ClaimKey(var request, var team, var key) -> etcd.claim(request, team, key);
            case Effect.ReleaseClaim(var request, var team, var key) -> etcd.releaseClaim(request, team, key);
            case Effect.StopProcess() -> stopProcess.run();
            case Effect.PlatformEffect platformEffect ->
                throw new IllegalArgumentException("no adapter executes " + platformEffect);
        }
    }
}
