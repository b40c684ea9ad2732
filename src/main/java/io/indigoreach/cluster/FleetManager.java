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

    private final LeadershipTerm.Context env;
    private final SchedulerCore core;
    private final FencingToken token;
    private final BooleanSupplier mayAct;
    /** Between requests to rent: with its answer's time it leaves room for returns and lists. */
    private final Span pace;

    private final PeriodicTask renting;
    private final PeriodicTask returning;
    private final PeriodicTask listing;
    private final IntentLog book;
    /** To be sent, or sent without an answer so far; only what is recorded is sent. */
    private final Deque<Request> open = new ArrayDeque<>();
    /** Of them, those of earlier leaders. */
    private final Set<String> inherited = new HashSet<>();

    private int requests;
    private Moment checked = Moment.NEVER;

    /** {@code mayAct}: whether this node surely leads; otherwise another may be using the machines already. */
    FleetManager(
            LeadershipTerm.Context env,
            SchedulerCore core,
            FencingToken token,
            IntentLog book,
            BooleanSupplier mayAct) {
        this.env = env;
        this.book = book;
        this.mayAct = mayAct;
        this.pace = Span.seconds(1 / env.config().cloudLimits().requestsPerS());
        this.core = core;
        this.token = token;
        this.renting = new PeriodicTask(env.vertx(), "renting", PAUSE, this::rent);
        this.returning = new PeriodicTask(env.vertx(), "returning", PAUSE, this::giveBack);
        this.listing = new PeriodicTask(env.vertx(), "machine list", PAUSE, this::list);
    }

    void start() {
        renting.start();
        returning.start();
        listing.start();
    }

    void cancel() {
        renting.cancel();
        returning.cancel();
        listing.cancel();
        book.cancel();
    }

    /** Takes over what earlier leaders had under way with the cloud. */
    Future<Void> load() {
        return book.load().map(page -> {
            Moment now = env.clock().now();
            core.inheritReturns(page.condemned(), now);
            book.intents().condemn(page.condemned());
            for (Intents.Rent r : page.rents()) {
                Moment asked = now.minus(new Span(Math.max(0, env.clock().timeOfDay() - r.askedMs())));
                open.add(new Request(r.name(), new ScaleOutRequest(r.pool(), r.count()), asked, 0, now));
                inherited.add(r.name());
            }
            if (!page.isEmpty()) {
                LOG.info(
                        "settling what was under way: {} requests to rent, {} machines to be returned",
                        page.rents().size(),
                        page.condemned().size());
            }
            return null;
        });
    }

    private Future<Span> rent() {
        if (!mayAct.getAsBoolean()) {
            return Future.succeededFuture(PAUSE);
        }
        Moment now = env.clock().now();
        if (open.stream().allMatch(Request::isSlow)) {
            think(now);
        }
        Request request =
                open.stream().filter(r -> !now.isBefore(r.next)).findFirst().orElse(null);
        return book.record().compose(done -> {
            if (request == null) {
                Span rest = Span.seconds(0.25);
                return done && inherited.isEmpty() ? book.forgetEarlier().map(rest) : Future.succeededFuture(rest);
            }
            boolean mayAsk = inherited.contains(request.name) || book.intents().mayAsk(request.name);
            return done && mayAsk ? ask(request) : Future.succeededFuture(Span.seconds(0.1));
        });
    }

    /** Once a check: what is wanted now becomes requests. */
    private void think(Moment now) {
        if (now.since(checked).compareTo(env.settings().tuning().checkPeriod()) < 0) {
            return;
        }
        checked = now;
        for (ScaleOutRequest wish : core.scaleOutRequests(now)) {
            Request request = new Request("t" + token + "-" + ++requests, wish, now, 0, now);
            Intents.Rent rent = new Intents.Rent(
                    request.name, wish.pool(), wish.count(), env.clock().timeOfDay());
            if (!book.intents().hasRoomFor(rent)) {
                break;
            }
            book.intents().add(rent);
            open.add(request);
        }
    }

    private Future<Span> ask(Request request) {
        open.remove(request);
        return env.cloud()
                .rent(request.name, request.wish.pool(), request.wish.count())
                .map(rental -> {
                    if (renting.isCancelled()) {
                        return PAUSE;
                    }
                    LOG.info(
                            "rent {} of {}: {}",
                            request.wish.count(),
                            request.wish.pool(),
                            rental.noCapacity() ? "no capacity" : rental.machines());
                    settled(request);
                    if (rental.noCapacity() || rental.machines().size() < request.wish.count()) {
                        core.refused(request.wish.pool(), env.clock().now());
                        open.removeIf(other -> {
                            boolean useless = other.tries == 0
                                    && other.wish.pool().equals(request.wish.pool())
                                    && !inherited.contains(other.name);
                            if (useless) {
                                settled(other);
                            }
                            return useless;
                        });
                        if (rental.noCapacity() && open.isEmpty()) {
                            // Work waits and the pool is empty: ask the next one at once.
                            checked = Moment.NEVER;
                        }
                    }
                    core.rented(
                            request.wish.pool(),
                            rental.machines(),
                            request.asked,
                            env.clock().now());
                    return pace;
                })
                .recover(e -> {
                    // Without an answer the machines may be rented all the same: the same name gets the same answer.
                    LOG.info(
                            "rent {} of {}: no answer ({})", request.wish.count(), request.wish.pool(), e.getMessage());
                    Span slow = PAUSE.times(Math.pow(2, Math.max(0, request.tries - MOST_TRIES)));
                    Span pause = slow.compareTo(LONGEST_PAUSE) < 0 ? slow : LONGEST_PAUSE;
                    open.addFirst(new Request(
                            request.name,
                            request.wish,
                            request.asked,
                            request.tries + 1,
                            env.clock().now().plus(pause)));
                    return Future.succeededFuture(PAUSE);
                });
    }

    private void settled(Request request) {
        book.intents().settled(request.name);
        inherited.remove(request.name);
    }

    private Future<Span> giveBack() {
        Span period = env.settings().tuning().checkPeriod();
        if (!mayAct.getAsBoolean()) {
            return Future.succeededFuture(PAUSE);
        }
        core.setAwakeSince(env.pulse().awakeSince());
        core.planScaleIn(env.clock().now());
        List<MachineId> leaving = book.intents().condemn(core.machinesToReturn(CloudClient.mostReturned()));
        if (leaving.isEmpty()) {
            return Future.succeededFuture(period);
        }
        return book.record().compose(done -> {
            if (!done || !book.intents().mayReturn(leaving) || !mayAct.getAsBoolean()) {
                return Future.succeededFuture(Span.seconds(0.2));
            }
            return env.cloud().giveBack(leaving).map(v -> {
                if (!returning.isCancelled()) {
                    book.intents().gone(leaving);
                    core.returned(leaving, env.clock().now());
                    LOG.info("returned {}", leaving);
                }
                return period;
            });
        });
    }

    private Future<Span> list() {
        Moment asked = env.clock().now();
        return env.cloud().list().map(list -> {
            if (!listing.isCancelled()) {
                core.onMachineListing(list, asked, env.clock().now());
            }
            // After a take-over the list tells which silent machines are gone, and work waits for that.
            Span usual = env.settings().span(Settings.Setting.LIST_EVERY_S);
            return core.isFailoverComplete() || usual.compareTo(PAUSE) < 0 ? usual : PAUSE;
        });
    }
}
