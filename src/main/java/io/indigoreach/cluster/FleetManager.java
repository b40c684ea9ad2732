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
 * Sends a leader's requests to the cloud: one task rents machines, one returns them, and one reads the cloud's list of
 * machines. {@link SchedulerCore} decides which machines to rent or return. Each decision is recorded in the {@link
 * IntentLog} before the request is sent. Bound to the node's event loop.
 */
final class FleetManager {
    private static final Logger LOG = LoggerFactory.getLogger(FleetManager.class);
    private static final Span RETRY_INTERVAL = Span.seconds(1);
    /**
     * Number of attempts at a fixed interval. After these, the retry interval grows exponentially, and new requests no
     * longer wait for this one.
     */
    private static final int MAX_FAST_ATTEMPTS = 5;

    private static final Span MAX_RETRY_INTERVAL = Span.seconds(16);
    /** Delay before the next check for requests to send, while none is due. */
    private static final Span IDLE_DELAY = Span.seconds(0.25);
    /** Delay before another attempt to record an intent. */
    private static final Span UNRECORDED_RETRY_DELAY = Span.seconds(0.1);

    private static final Span UNRECORDED_RETURN_RETRY_DELAY = Span.seconds(0.2);

    /**
     * A request to rent machines.
     *
     * @param name idempotency key, which all attempts share
     * @param requestedAt when the scheduler decided to rent the machines
     * @param attempts number of attempts that got no response
     * @param nextAttemptAt earliest time of the next attempt
     */
    private record Request(
            String name, ScaleOutRequest scaleOut, Moment requestedAt, int attempts, Moment nextAttemptAt) {
        boolean isBackingOff() {
            return attempts > MAX_FAST_ATTEMPTS;
        }

        MachinePool pool() {
            return scaleOut.pool();
        }

        int count() {
            return scaleOut.count();
        }

        Request afterFailedAttempt(Moment now) {
            Span backoff = RETRY_INTERVAL.times(Math.pow(2, Math.max(0, attempts - MAX_FAST_ATTEMPTS)));
            Span retryDelay = backoff.compareTo(MAX_RETRY_INTERVAL) < 0 ? backoff : MAX_RETRY_INTERVAL;
            return new Request(name, scaleOut, requestedAt, attempts + 1, now.plus(retryDelay));
        }
    }

    private final NodeContext context;
    private final SchedulerCore core;
    private final FencingToken token;
    private final BooleanSupplier leadershipValid;
    /**
     * Pause after each rental. Together with the response time it leaves part of the cloud's request rate for returns
     * and listings.
     */
    private final Span requestInterval;

    private final PeriodicTask scaleOutTask;
    private final PeriodicTask scaleInTask;
    private final PeriodicTask listingTask;
    private final IntentLog intentLog;
    /** Requests that have no response yet, sent or unsent; a request is sent only after it is recorded. */
    private final Deque<Request> openRequests = new ArrayDeque<>();
    /** Names of the open requests that earlier leaders created. */
    private final Set<String> inheritedRequests = new HashSet<>();

    private int requestCount;
    private Moment lastCheckAt = Moment.NEVER;

    /**
     * @param leadershipValid whether this node's leadership is valid; if it is not, another leader may already be using the
     * machines
     */
    FleetManager(
            NodeContext context,
            SchedulerCore core,
            FencingToken token,
            IntentLog intentLog,
            BooleanSupplier leadershipValid) {
        this.context = context;
        this.intentLog = intentLog;
        this.leadershipValid = leadershipValid;
        this.requestInterval = Span.seconds(1 / context.config().cloudLimits().requestsPerS());
        this.core = core;
        this.token = token;
        this.scaleOutTask = new PeriodicTask(context.vertx(), "scale-out", RETRY_INTERVAL, this::scaleOutStep);
        this.scaleInTask = new PeriodicTask(context.vertx(), "scale-in", RETRY_INTERVAL, this::scaleInStep);
        this.listingTask = new PeriodicTask(context.vertx(), "machine-listing", RETRY_INTERVAL, this::listingStep);
    }

    void start() {
        scaleOutTask.start();
        scaleInTask.start();
        listingTask.start();
    }

    /** Cancels the tasks; later responses are ignored. */
    void cancel() {
        scaleOutTask.cancel();
        scaleInTask.cancel();
        listingTask.cancel();
        intentLog.cancel();
    }

    /** Loads the requests that earlier leaders had in progress, to continue them. */
    Future<Void> load() {
        return intentLog.load().map(page -> {
            inheritRequests(page);
            return null;
        });
    }

    private void inheritRequests(Intents.Content page) {
        Moment now = context.clock().now();
        core.inheritReturns(page.returns(), now);
        intentLog.intents().addReturns(page.returns());
        for (Intents.Rental rent : page.rentals()) {
            Span age = new Span(Math.max(0, context.clock().timeOfDay() - rent.requestedAtMs()));
            ScaleOutRequest scaleOut = new ScaleOutRequest(rent.pool(), rent.count());
            openRequests.add(new Request(rent.name(), scaleOut, now.minus(age), 0, now));
            inheritedRequests.add(rent.name());
        }
        if (!page.isEmpty()) {
            LOG.info(
                    "cloud requests inherited scale_out={} returns={}",
                    page.rentals().size(),
                    page.returns().size());
        }
    }

    private Future<Span> scaleOutStep() {
        if (!leadershipValid.getAsBoolean()) {
            return Future.succeededFuture(RETRY_INTERVAL);
        }
        Moment now = context.clock().now();
        if (openRequests.stream().allMatch(Request::isBackingOff)) {
            openNewRequests(now);
        }
        Request request = openRequests.stream()
                .filter(open -> !now.isBefore(open.nextAttemptAt))
                .findFirst()
                .orElse(null);
        return intentLog
                .record()
                .compose(recorded ->
                        request == null ? removeEarlierRecordsIfIdle(recorded) : sendIfRecorded(request, recorded));
    }

    private Future<Span> removeEarlierRecordsIfIdle(boolean recorded) {
        return recorded && inheritedRequests.isEmpty()
                ? intentLog.removeEarlierRecords().map(IDLE_DELAY)
                : Future.succeededFuture(IDLE_DELAY);
    }

    private Future<Span> sendIfRecorded(Request request, boolean recorded) {
        boolean maySend =
                inheritedRequests.contains(request.name) || intentLog.intents().maySendRental(request.name);
        return recorded && maySend ? send(request) : Future.succeededFuture(UNRECORDED_RETRY_DELAY);
    }

    /** Creates requests for the machines that are needed now, at most once per check period. */
    private void openNewRequests(Moment now) {
        if (now.since(lastCheckAt)
                        .compareTo(context.settings().schedulerSettings().checkPeriod())
                < 0) {
            return;
        }
        lastCheckAt = now;
        for (ScaleOutRequest scaleOut : core.scaleOutRequests(now)) {
            Request request = new Request("t" + token + "-" + ++requestCount, scaleOut, now, 0, now);
            Intents.Rental rent = new Intents.Rental(
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
                .recover(e -> onRentalFailed(request, e));
    }

    private Span onRental(Request request, CloudClient.RentalResult rental) {
        if (scaleOutTask.isCancelled()) {
            return RETRY_INTERVAL;
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
        core.onMachinesRented(
                request.pool(),
                rental.machines(),
                request.requestedAt,
                context.clock().now());
        return requestInterval;
    }

    /** Drops the unsent requests to the pool, which would be rejected as well. */
    private void onPoolExhausted(MachinePool pool, boolean noCapacity) {
        core.onScaleOutRejected(pool, context.clock().now());
        List<Request> unsentRequests = openRequests.stream()
                .filter(open ->
                        open.attempts == 0 && open.pool().equals(pool) && !inheritedRequests.contains(open.name))
                .toList();
        unsentRequests.forEach(this::complete);
        openRequests.removeAll(unsentRequests);
        if (noCapacity && openRequests.isEmpty()) {
            // Tasks are waiting and this pool has no capacity: try the next pool without waiting for the check period.
            lastCheckAt = Moment.NEVER;
        }
    }

    /**
     * Schedules a retry under the same name: the cloud may have rented the machines, and returns the same result for
     * the same name.
     */
    private Future<Span> onRentalFailed(Request request, Throwable cause) {
        LOG.info("scale-out unanswered count={} pool={} cause={}", request.count(), request.pool(), cause.getMessage());
        openRequests.addFirst(request.afterFailedAttempt(context.clock().now()));
        return Future.succeededFuture(RETRY_INTERVAL);
    }

    private void complete(Request request) {
        intentLog.intents().completeRental(request.name);
        inheritedRequests.remove(request.name);
    }

    private Future<Span> scaleInStep() {
        if (!leadershipValid.getAsBoolean()) {
            return Future.succeededFuture(RETRY_INTERVAL);
        }
        core.setEventLoopRunningSince(context.loopMonitor().runningSince());
        core.planScaleIn(context.clock().now());
        List<MachineId> machinesToReturn =
                intentLog.intents().addReturns(core.machinesToReturn(CloudClient.maxMachinesPerReturn()));
        if (machinesToReturn.isEmpty()) {
            return Future.succeededFuture(context.settings().schedulerSettings().checkPeriod());
        }
        return intentLog.record().compose(recorded -> returnIfRecorded(machinesToReturn, recorded));
    }

    private Future<Span> returnIfRecorded(List<MachineId> machines, boolean recorded) {
        if (!recorded || !intentLog.intents().maySendReturns(machines) || !leadershipValid.getAsBoolean()) {
            return Future.succeededFuture(UNRECORDED_RETURN_RETRY_DELAY);
        }
        return context.cloud().returnMachines(machines).map(answered -> {
            if (!scaleInTask.isCancelled()) {
                intentLog.intents().completeReturns(machines);
                core.onMachinesReturned(machines, context.clock().now());
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
            // After a failover, tasks of machines that send no heartbeats wait until a listing shows whether the
            // machines still exist.
            Span interval = context.settings().span(Settings.Setting.LIST_EVERY_S);
            return core.isFailoverComplete() || interval.compareTo(RETRY_INTERVAL) < 0 ? interval : RETRY_INTERVAL;
        });
    }
}
