package io.indigoreach.cluster;

import io.indigoreach.cloud.CloudClient;
import io.indigoreach.config.Settings;
import io.indigoreach.core.LeaderCore;
import io.indigoreach.core.MachineId;
import io.indigoreach.core.Moment;
import io.indigoreach.core.RentWish;
import io.indigoreach.core.Span;
import io.indigoreach.core.Token;
import io.indigoreach.net.Duty;
import io.vertx.core.Future;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.function.BooleanSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The leader's dealings with the cloud: one duty rents and returns, another reads the list. */
final class Fleet {
    private static final Logger LOG = LoggerFactory.getLogger(Fleet.class);
    private static final Span PAUSE = Span.seconds(1);
    private static final int MOST_TRIES = 5;

    private record Request(String name, RentWish wish, Moment asked, int tries) {
    }

    private final Reign.Surroundings env;
    private final LeaderCore core;
    private final Token token;
    private final BooleanSupplier mayAct;
    /** Between requests to rent: with its answer's time it leaves room for returns and lists. */
    private final Span pace;
    private final Duty renting;
    private final Duty returning;
    private final Duty listing;
    private final Deque<Request> open = new ArrayDeque<>();
    private int requests;
    private Moment checked = Moment.NEVER;

    /** {@code mayAct}: whether this node surely leads; otherwise another may be using the machines already. */
    Fleet(Reign.Surroundings env, LeaderCore core, Token token, BooleanSupplier mayAct) {
        this.env = env;
        this.mayAct = mayAct;
        this.pace = Span.seconds(1 / env.config().cloudLimits().requestsPerS());
        this.core = core;
        this.token = token;
        this.renting = new Duty(env.vertx(), "renting", PAUSE, this::rent);
        this.returning = new Duty(env.vertx(), "returning", PAUSE, this::giveBack);
        this.listing = new Duty(env.vertx(), "machine list", PAUSE, this::list);
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
    }

    private Future<Span> rent() {
        if (!mayAct.getAsBoolean()) {
            return Future.succeededFuture(PAUSE);
        }
        Moment now = env.clock().now();
        if (open.isEmpty()) {
            Span check = env.settings().tuning().check();
            boolean due = now.since(checked).compareTo(check) >= 0;
            if (due) {
                checked = now;
                for (RentWish wish : core.wishes(now)) {
                    open.add(new Request("t" + token + "-" + ++requests, wish, now, 0));
                }
            }
            if (open.isEmpty()) {
                return Future.succeededFuture(Span.seconds(0.25));
            }
        }
        Request request = open.poll();
        return env.cloud().rent(request.name, request.wish.pool(), request.wish.count()).map(rental -> {
            if (renting.isCancelled()) {
                return PAUSE;
            }
            LOG.info("rent {} of {}: {}", request.wish.count(), request.wish.pool(),
                    rental.noCapacity() ? "no capacity" : rental.machines());
            if (rental.noCapacity() || rental.machines().size() < request.wish.count()) {
                core.refused(request.wish.pool(), env.clock().now());
                open.removeIf(other -> other.tries == 0 && other.wish.pool().equals(request.wish.pool()));
                if (rental.noCapacity() && open.isEmpty()) {
                    // Work waits and the pool is empty: ask the next one at once.
                    checked = Moment.NEVER;
                }
            }
            core.rented(request.wish.pool(), rental.machines(), request.asked, env.clock().now());
            return pace;
        }).recover(e -> {
            // Without an answer the machines may be rented all the same: the same name gets the same answer.
            LOG.info("rent {} of {}: no answer ({})", request.wish.count(), request.wish.pool(), e.getMessage());
            if (request.tries < MOST_TRIES) {
                open.addFirst(new Request(request.name, request.wish, request.asked, request.tries + 1));
            }
            return Future.succeededFuture(PAUSE);
        });
    }

    private Future<Span> giveBack() {
        Span period = env.settings().tuning().check();
        if (!mayAct.getAsBoolean()) {
            return Future.succeededFuture(PAUSE);
        }
        core.check(env.clock().now());
        List<MachineId> leaving = core.leaving(CloudClient.mostReturned());
        if (leaving.isEmpty()) {
            return Future.succeededFuture(period);
        }
        return env.cloud().giveBack(leaving).map(v -> {
            if (!returning.isCancelled()) {
                core.returned(leaving, env.clock().now());
                LOG.info("returned {}", leaving);
            }
            return period;
        });
    }

    private Future<Span> list() {
        Moment asked = env.clock().now();
        return env.cloud().list().map(list -> {
            if (!listing.isCancelled()) {
                core.onList(list, asked, env.clock().now());
            }
            // After a take-over the list tells which silent machines are gone, and work waits for that.
            Span usual = env.settings().span(Settings.Knob.LIST_EVERY_S);
            return core.isSettled() || usual.compareTo(PAUSE) < 0 ? usual : PAUSE;
        });
    }
}
