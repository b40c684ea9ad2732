package io.indigoreach.cluster;

import io.indigoreach.cloud.CloudClient;
import io.indigoreach.config.Settings;
import io.indigoreach.core.intent.Intents;
import io.indigoreach.core.model.FencingToken;
import io.indigoreach.core.model.MachineId;
import io.indigoreach.core.model.MachinePool;
import io.indigoreach.core.model.Moment;
import io.indigoreach.core.model.Span;
import io.indigoreach.core.scheduling.ScaleOutRequest;
import io.indigoreach.core.scheduling.SchedulerCore;
import io.indigoreach.net.PeriodicTask;
import io.vertx.core.Future;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.BooleanSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A leader's requests to the cloud: one task rents machines, one returns them, and one reads the cloud's list of machines. What is to be rented or
 * returned is decided by {@link SchedulerCore}, and recorded in the {@link IntentLog} before it is requested. Bound to the
 * node's event loop.
 */
final class FleetManager {
    private static final Logger LOG = LoggerFactory.getLogger(FleetManager.class);
    private static final Span PAUSE = Span.seconds(1);
    /** After so many tries without an answer a request is repeated less and less often, and does not hold up new ones. */
    private static final int MAX_QUICK_TRIES = 5;

    private static final Span MAX_RETRY_PAUSE = Span.seconds(16);
    /** Until new requests are looked for, while none is due. */
    private static final Span IDLE_PAUSE = Span.seconds(0.25);
    /** Until an intent that could not be recorded is tried again. */
    private static final Span UNRECORDED_PAUSE = Span.seconds(0.1);

    private static final Span UNRECORDED_RETURN_PAUSE = Span.seconds(0.2);

    /**
     * A request to rent machines.
     *
     * @param name under which it is repeated until it is answered
     * @param requestedAt when it was first decided on
     * @param tries how often it was sent without an answer
     * @param nextTryAt when it may be sent again
     */
    private record Request(String name, ScaleOutRequest scaleOut, Moment requestedAt, int tries, Moment nextTryAt) {
        boolean isSlow() {
            return tries > MAX_QUICK_TRIES;
        }

        MachinePool pool() {
            return scaleOut.pool();
        }

        int count() {
            return scaleOut.count();
        }

        Request unanswered(Moment now) {
            Span backoff = PAUSE.times(Math.pow(2, Math.max(0, tries - MAX_QUICK_TRIES)));
            Span pause = backoff.compareTo(MAX_RETRY_PAUSE) < 0 ? backoff : MAX_RETRY_PAUSE;
            return new Request(name, scaleOut, requestedAt, tries + 1, now.plus(pause));
        }
    }

    private final NodeContext context;
    private final SchedulerCore core;
    private final FencingToken token;
    private final BooleanSupplier mayAct;
    /** Between requests to rent: together with the time of an answer it leaves room for returns and listings. */
    private final Span requestInterval;

    private final PeriodicTask scaleOutTask;
    private final PeriodicTask scaleInTask;
    private final PeriodicTask listingTask;
    private final IntentLog intentLog;
    /** To be sent, or sent without an answer so far; only what is recorded is sent. */
    private final Deque<Request> openRequests = new ArrayDeque<>();
    /** The names of those among them that an earlier leader made. */
    private final Set<String> inheritedRequests = new HashSet<>();

    private int requestCount;
    private Moment lastCheckAt = Moment.NEVER;

    /** {@code mayAct}: whether this node surely leads; otherwise another leader may be using the machines already. */
    FleetManager(
            NodeContext context, SchedulerCore core, FencingToken token, IntentLog intentLog, BooleanSupplier mayAct) {
        this.context = context;
        this.intentLog = intentLog;
        this.mayAct = mayAct;
        this.requestInterval = Span.seconds(1 / context.config().cloudLimits().requestsPerS());
        this.core = core;
        this.token = token;
        this.scaleOutTask = new PeriodicTask(context.vertx(), "scale-out", PAUSE, this::scaleOutStep);
        this.scaleInTask = new PeriodicTask(context.vertx(), "scale-in", PAUSE, this::scaleInStep);
        this.listingTask = new PeriodicTask(context.vertx(), "machine-listing", PAUSE, this::listingStep);
    }

    void start() {
        scaleOutTask.start();
        scaleInTask.start();
        listingTask.start();
    }

    /** Ends the tasks; answers that arrive later are ignored. */
    void cancel() {
        scaleOutTask.cancel();
        scaleInTask.cancel();
        listingTask.cancel();
        intentLog.cancel();
    }

    /** Takes on the requests that earlier leaders had in progress. */
    Future<Void> load() {
        return intentLog.load().map(page -> {
            inherit(page);
            return null;
        });
    }

    private void inherit(Intents.Page page) {
        Moment now = context.clock().now();
        core.inheritReturns(page.returns(), now);
        intentLog.intents().addReturns(page.returns());
        for (Intents.Rent rent : page.rents()) {
            Span age = new Span(Math.max(0, context.clock().timeOfDay() - rent.askedMs()));
            ScaleOutRequest scaleOut = new ScaleOutRequest(rent.pool(), rent.count());
            openRequests.add(new Request(rent.name(), scaleOut, now.minus(age), 0, now));
            inheritedRequests.add(rent.name());
        }
        if (!page.isEmpty()) {
            LOG.info(
                    "cloud requests inherited scale_out={} returns={}",
                    page.rents().size(),
                    page.returns().size());
        }
    }

    private Future<Span> scaleOutStep() {
        if (!mayAct.getAsBoolean()) {
            return Future.succeededFuture(PAUSE);
        }
        Moment now = context.clock().now();
        if (openRequests.stream().allMatch(Request::isSlow)) {
            openNewRequests(now);
        }
        Request request = openRequests.stream()
                .filter(open -> !now.isBefore(open.nextTryAt))
                .findFirst()
                .orElse(null);
        return intentLog
                .record()
                .compose(recorded -> request == null ? idle(recorded) : sendIfRecorded(request, recorded));
    }

    private Future<Span> idle(boolean recorded) {
        return recorded && inheritedRequests.isEmpty()
                ? intentLog.forgetEarlier().map(IDLE_PAUSE)
                : Future.succeededFuture(IDLE_PAUSE);
    }

    private Future<Span> sendIfRecorded(Request request, boolean recorded) {
        boolean maySend =
                inheritedRequests.contains(request.name) || intentLog.intents().maySend(request.name);
        return recorded && maySend ? send(request) : Future.succeededFuture(UNRECORDED_PAUSE);
    }

    /** Once in a check period, opens requests for the machines that are needed now. */
    private void openNewRequests(Moment now) {
        if (now.since(lastCheckAt)
                        .compareTo(context.settings().schedulerSettings().checkPeriod())
                < 0) {
            return;
        }
        lastCheckAt = now;
        for (ScaleOutRequest scaleOut : core.scaleOutRequests(now)) {
            Request request = new Request("t" + token + "-" + ++requestCount, scaleOut, now, 0, now);
            Intents.Rent rent = new Intents.Rent(
                    request.name,
                    request.pool(),
                    request.count(),
                    context.clock().timeOfDay());
            if (!intentLog.intents().hasRoomFor(rent)) {
                break;
            }
            intentLog.intents().add(rent);
            openRequests.add(request);
        }
    }

    private Future<Span> send(Request request) {
        openRequests.remove(request);
        return context.cloud()
                .rent(request.name, request.pool(), request.count())
                .map(rental -> onRental(request, rental))
                .recover(e -> onUnanswered(request, e));
    }

    private Span onRental(Request request, CloudClient.RentalResult rental) {
        if (scaleOutTask.isCancelled()) {
            return PAUSE;
        }
        if (rental.noCapacity()) {
            LOG.info("scale-out rejected for capacity count={} pool={}", request.count(), request.pool());
        } else {
            LOG.info(
                    "scale-out completed count={} pool={} machines={}",
                    request.count(),
                    request.pool(),
                    rental.machines());
        }
        complete(request);
        if (rental.noCapacity() || rental.machines().size() < request.count()) {
            onPoolExhausted(request.pool(), rental.noCapacity());
        }
        core.rented(
                request.pool(),
                rental.machines(),
                request.requestedAt,
                context.clock().now());
        return requestInterval;
    }

    /** Drops the requests to that pool that were never sent: they would be rejected as well. */
    private void onPoolExhausted(MachinePool pool, boolean noCapacity) {
        core.scaleOutRejected(pool, context.clock().now());
        List<Request> futile = openRequests.stream()
                .filter(open -> open.tries == 0 && open.pool().equals(pool) && !inheritedRequests.contains(open.name))
                .toList();
        futile.forEach(this::complete);
        openRequests.removeAll(futile);
        if (noCapacity && openRequests.isEmpty()) {
            // Work waits and the pool is empty: the next pool is tried at once.
            lastCheckAt = Moment.NEVER;
        }
    }

    /** Without an answer the machines may be rented all the same: a request of the same name gets the same answer. */
    private Future<Span> onUnanswered(Request request, Throwable cause) {
        LOG.info("scale-out unanswered count={} pool={} cause={}", request.count(), request.pool(), cause.getMessage());
        openRequests.addFirst(request.unanswered(context.clock().now()));
        return Future.succeededFuture(PAUSE);
    }

    private void complete(Request request) {
        intentLog.intents().completed(request.name);
        inheritedRequests.remove(request.name);
    }

    private Future<Span> scaleInStep() {
        if (!mayAct.getAsBoolean()) {
            return Future.succeededFuture(PAUSE);
        }
        core.setAwakeSince(context.loopMonitor().runningSince());
        core.planScaleIn(context.clock().now());
        List<MachineId> leaving =
                intentLog.intents().addReturns(core.machinesToReturn(CloudClient.maxMachinesPerReturn()));
        if (leaving.isEmpty()) {
            return Future.succeededFuture(context.settings().schedulerSettings().checkPeriod());
        }
        return intentLog.record().compose(recorded -> returnIfRecorded(leaving, recorded));
    }

    private Future<Span> returnIfRecorded(List<MachineId> machines, boolean recorded) {
        if (!recorded || !intentLog.intents().mayReturn(machines) || !mayAct.getAsBoolean()) {
            return Future.succeededFuture(UNRECORDED_RETURN_PAUSE);
        }
        return context.cloud().returnMachines(machines).map(answered -> {
            if (!scaleInTask.isCancelled()) {
                intentLog.intents().returned(machines);
                core.returned(machines, context.clock().now());
                LOG.info("scale-in completed machines={}", machines);
            }
            return context.settings().schedulerSettings().checkPeriod();
        });
    }

    private Future<Span> listingStep() {
        Moment requestedAt = context.clock().now();
        return context.cloud().listMachines().map(machines -> {
            if (!listingTask.isCancelled()) {
                core.onMachineListing(machines, requestedAt, context.clock().now());
            }
            // After a failover the listing shows which silent machines are gone, and work waits for that.
            Span usual = context.settings().span(Settings.Setting.LIST_EVERY_S);
            return core.isFailoverComplete() || usual.compareTo(PAUSE) < 0 ? usual : PAUSE;
        });
    }
}
