package io.indigoreach.cluster;

import io.indigoreach.cloud.CloudClient;
import io.indigoreach.config.Settings;
import io.indigoreach.core.intent.Intents;
import io.indigoreach.core.model.FencingToken;
import io.indigoreach.core.model.MachineId;
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

/** The leader's dealings with the cloud: one duty rents and returns, another reads the list. */
final class FleetManager {
    private static final Logger LOG = LoggerFactory.getLogger(FleetManager.class);
    private static final Span PAUSE = Span.seconds(1);
    private static final int MOST_TRIES = 5;
    private static final Span LONGEST_PAUSE = Span.seconds(16);

    /** A request to rent, next to be sent at a time; after some tries without an answer it does not hold up others. */
    private record Request(String name, ScaleOutRequest wish, Moment asked, int tries, Moment next) {
        boolean isSlow() {
            return tries > MOST_TRIES;
        }
    }

    private final LeadershipTerm.Context context;
    private final SchedulerCore core;
    private final FencingToken token;
    private final BooleanSupplier mayAct;
    /** Between requests to rent: with its answer's time it leaves room for returns and lists. */
    private final Span requestInterval;

    private final PeriodicTask scaleOutTask;
    private final PeriodicTask scaleInTask;
    private final PeriodicTask listingTask;
    private final IntentLog intentLog;
    /** To be sent, or sent without an answer so far; only what is recorded is sent. */
    private final Deque<Request> openRequests = new ArrayDeque<>();
    /** Of them, those of earlier leaders. */
    private final Set<String> inheritedRequests = new HashSet<>();

    private int requests;
    private Moment lastCheckAt = Moment.NEVER;

    /** {@code mayAct}: whether this node surely leads; otherwise another may be using the machines already. */
    FleetManager(
            LeadershipTerm.Context context,
            SchedulerCore core,
            FencingToken token,
            IntentLog intentLog,
            BooleanSupplier mayAct) {
        this.context = context;
        this.intentLog = intentLog;
        this.mayAct = mayAct;
        this.requestInterval = Span.seconds(1 / context.config().cloudLimits().requestsPerS());
        this.core = core;
        this.token = token;
        this.scaleOutTask = new PeriodicTask(context.vertx(), "renting", PAUSE, this::scaleOutStep);
        this.scaleInTask = new PeriodicTask(context.vertx(), "returning", PAUSE, this::scaleInStep);
        this.listingTask = new PeriodicTask(context.vertx(), "machine list", PAUSE, this::listingStep);
    }

    void start() {
        scaleOutTask.start();
        scaleInTask.start();
        listingTask.start();
    }

    void cancel() {
        scaleOutTask.cancel();
        scaleInTask.cancel();
        listingTask.cancel();
        intentLog.cancel();
    }

    /** Takes over what earlier leaders had under way with the cloud. */
    Future<Void> load() {
        return intentLog.load().map(page -> {
            Moment now = context.clock().now();
            core.inheritReturns(page.returns(), now);
            intentLog.intents().recordReturns(page.returns());
            for (Intents.Rent r : page.rents()) {
                Moment asked = now.minus(new Span(Math.max(0, context.clock().timeOfDay() - r.askedMs())));
                openRequests.add(new Request(r.name(), new ScaleOutRequest(r.pool(), r.count()), asked, 0, now));
                inheritedRequests.add(r.name());
            }
            if (!page.isEmpty()) {
                LOG.info(
                        "settling what was under way: {} requests to rent, {} machines to be returned",
                        page.rents().size(),
                        page.returns().size());
            }
            return null;
        });
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
                .filter(r -> !now.isBefore(r.next))
                .findFirst()
                .orElse(null);
        return intentLog.record().compose(done -> {
            if (request == null) {
                Span rest = Span.seconds(0.25);
                return done && inheritedRequests.isEmpty()
                        ? intentLog.forgetEarlier().map(rest)
                        : Future.succeededFuture(rest);
            }
            boolean mayAsk = inheritedRequests.contains(request.name)
                    || intentLog.intents().mayAsk(request.name);
            return done && mayAsk ? sendRequest(request) : Future.succeededFuture(Span.seconds(0.1));
        });
    }

    /** Once a check: what is wanted now becomes requests. */
    private void openNewRequests(Moment now) {
        if (now.since(lastCheckAt).compareTo(context.settings().tuning().checkPeriod()) < 0) {
            return;
        }
        lastCheckAt = now;
        for (ScaleOutRequest wish : core.scaleOutRequests(now)) {
            Request request = new Request("t" + token + "-" + ++requests, wish, now, 0, now);
            Intents.Rent rent = new Intents.Rent(
                    request.name, wish.pool(), wish.count(), context.clock().timeOfDay());
            if (!intentLog.intents().hasRoomFor(rent)) {
                break;
            }
            intentLog.intents().add(rent);
            openRequests.add(request);
        }
    }

    private Future<Span> sendRequest(Request request) {
        openRequests.remove(request);
        return context.cloud()
                .rent(request.name, request.wish.pool(), request.wish.count())
                .map(rental -> {
                    if (scaleOutTask.isCancelled()) {
                        return PAUSE;
                    }
                    LOG.info(
                            "rent {} of {}: {}",
                            request.wish.count(),
                            request.wish.pool(),
                            rental.noCapacity() ? "no capacity" : rental.machines());
                    requestSettled(request);
                    if (rental.noCapacity() || rental.machines().size() < request.wish.count()) {
                        core.scaleOutRejected(
                                request.wish.pool(), context.clock().now());
                        openRequests.removeIf(other -> {
                            boolean useless = other.tries == 0
                                    && other.wish.pool().equals(request.wish.pool())
                                    && !inheritedRequests.contains(other.name);
                            if (useless) {
                                requestSettled(other);
                            }
                            return useless;
                        });
                        if (rental.noCapacity() && openRequests.isEmpty()) {
                            // Work waits and the pool is empty: ask the next one at once.
                            lastCheckAt = Moment.NEVER;
                        }
                    }
                    core.rented(
                            request.wish.pool(),
                            rental.machines(),
                            request.asked,
                            context.clock().now());
                    return requestInterval;
                })
                .recover(e -> {
                    // Without an answer the machines may be rented all the same: the same name gets the same answer.
                    LOG.info(
                            "rent {} of {}: no answer ({})", request.wish.count(), request.wish.pool(), e.getMessage());
                    Span slow = PAUSE.times(Math.pow(2, Math.max(0, request.tries - MOST_TRIES)));
                    Span pause = slow.compareTo(LONGEST_PAUSE) < 0 ? slow : LONGEST_PAUSE;
                    openRequests.addFirst(new Request(
                            request.name,
                            request.wish,
                            request.asked,
                            request.tries + 1,
                            context.clock().now().plus(pause)));
                    return Future.succeededFuture(PAUSE);
                });
    }

    private void requestSettled(Request request) {
        intentLog.intents().settled(request.name);
        inheritedRequests.remove(request.name);
    }

    private Future<Span> scaleInStep() {
        Span period = context.settings().tuning().checkPeriod();
        if (!mayAct.getAsBoolean()) {
            return Future.succeededFuture(PAUSE);
        }
        core.setAwakeSince(context.loopMonitor().turningSince());
        core.planScaleIn(context.clock().now());
        List<MachineId> leaving = intentLog.intents().recordReturns(core.machinesToReturn(CloudClient.mostReturned()));
        if (leaving.isEmpty()) {
            return Future.succeededFuture(period);
        }
        return intentLog.record().compose(done -> {
            if (!done || !intentLog.intents().mayReturn(leaving) || !mayAct.getAsBoolean()) {
                return Future.succeededFuture(Span.seconds(0.2));
            }
            return context.cloud().giveBack(leaving).map(v -> {
                if (!scaleInTask.isCancelled()) {
                    intentLog.intents().gone(leaving);
                    core.returned(leaving, context.clock().now());
                    LOG.info("returned {}", leaving);
                }
                return period;
            });
        });
    }

    private Future<Span> listingStep() {
        Moment asked = context.clock().now();
        return context.cloud().list().map(list -> {
            if (!listingTask.isCancelled()) {
                core.onMachineListing(list, asked, context.clock().now());
            }
            // After a take-over the list tells which silent machines are gone, and work waits for that.
            Span usual = context.settings().span(Settings.Setting.LIST_EVERY_S);
            return core.isFailoverComplete() || usual.compareTo(PAUSE) < 0 ? usual : PAUSE;
        });
    }
}
