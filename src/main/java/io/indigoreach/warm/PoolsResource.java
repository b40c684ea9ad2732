package io.indigoreach.warm;

import io.indigoreach.api.ApiResponse;
import io.indigoreach.api.NotFoundException;
import io.indigoreach.api.RequestRejectedException;
import io.indigoreach.api.Resource;
import io.indigoreach.core.accounts.Account;
import io.indigoreach.core.records.VersionedRecord;
import io.indigoreach.core.warm.PoolSpec;
import io.indigoreach.net.Fields;
import io.indigoreach.net.JsonSize;
import io.indigoreach.net.MessagePackFormat;
import io.indigoreach.parts.Parts;
import io.vertx.core.Future;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Pools for people, at any node: {@code GET /api/pools} lists, {@code GET /api/pools?sums=1} tells who pays what,
 * {@code GET /api/pools/NAME} explains, {@code POST /api/pools/NAME} sets.
 */
final class PoolsResource implements Resource {
    /** A pool that is set only if it is still at this version; 0: if there is none. */
    private static final String EXPECTED = "if_version";

    private static final int LISTED = 100;

    private final Parts.Environment ground;

    PoolsResource(Parts.Environment ground) {
        this.ground = ground;
    }

    @Override
    public Future<ApiResponse> serve(Call call) {
        if (call.path().isEmpty() && call.isGet()) {
            return call.query().containsKey("sums") ? sums() : list(call.query().get("after"));
        }
        if (call.path().size() != 1 || (!call.isGet() && !call.isPost())) {
            throw new NotFoundException("no such path");
        }
        String name = call.path().get(0);
        if (!PoolSpec.isName(name)) {
            throw RequestRejectedException.of("name", "small letters, digits, dots and dashes, up to 60");
        }
        return call.isGet()
                ? explain(name)
                : set(
                        PoolCodec.read(name, call.body()),
                        call.body().has(EXPECTED) ? call.body().wholeNumber(EXPECTED) : -1);
    }

    private Future<ApiResponse> list(String after) {
        return ground.recordRoutines().run(PoolRoutines.all(PoolRecords.POOLS)).map(all -> {
            List<Object> pools = new ArrayList<>();
            boolean more = false;
            for (VersionedRecord k : all) {
                String name = k.key().substring(PoolRecords.POOLS.length());
                if (after == null || name.compareTo(after) > 0) {
                    more |= pools.size() >= LISTED;
                    if (pools.size() < LISTED) {
                        PoolSpec p = PoolCodec.read(name, new Fields(k.value()));
                        pools.add(MessagePackFormat.map(
                                "name",
                                name,
                                "team",
                                p.team(),
                                "image",
                                p.image(),
                                "least",
                                p.least(),
                                "most",
                                p.most(),
                                "version",
                                k.version()));
                    }
                }
            }
            return ApiResponse.ok(MessagePackFormat.map("pools", pools, "more", more));
        });
    }

    /** All pages' sums together: each is as new as its last write. */
    private Future<ApiResponse> sums() {
        return ground.recordRoutines().run(PoolRoutines.all(PoolRecords.SHEETS)).map(all -> {
            Map<Account, Double> sums = new TreeMap<>();
            long lines = 0;
            for (VersionedRecord k : all) {
                PoolCodec.readSums(new Fields(k.value()))
                        .forEach((account, money) -> sums.merge(account, money, Double::sum));
                lines += new Fields(k.value()).lists("lines").size();
            }
            return ApiResponse.ok(MessagePackFormat.map("sums", PoolCodec.writeSums(sums), "machines", lines));
        });
    }

    private Future<ApiResponse> explain(String name) {
        return ground.recordRoutines()
                .run(PoolRoutines.read(PoolRecords.POOLS + name))
                .compose(pool -> {
                    if (!pool.exists()) {
                        throw new NotFoundException("no pool " + name);
                    }
                    return ground.recordRoutines()
                            .run(PoolRoutines.read(PoolRecords.TOLD + name))
                            .map(told -> {
                                Map<String, Object> answer = new LinkedHashMap<>(Map.of("name", name));
                                answer.putAll(PoolRoutines.plain(pool));
                                answer.put("version", pool.version());
                                answer.put(
                                        "stands",
                                        told.exists()
                                                ? PoolRoutines.plain(told)
                                                : MessagePackFormat.map("why", "no leader has planned it yet"));
                                return ApiResponse.ok(answer);
                            });
                });
    }

    private Future<ApiResponse> set(PoolSpec pool, long expected) {
        if (!ground.catalogue().isKnown()) {
            return Future.succeededFuture(ApiResponse.retryLater("the machine types are not known yet"));
        }
        PoolSpec.Fault fault =
                pool.fault(ground.config().teams(), ground.catalogue().types());
        if (fault != null) {
            throw RequestRejectedException.of(fault.field(), fault.reason());
        }
        Map<String, Object> value = PoolCodec.write(pool);
        if (JsonSize.of(value) > ground.config().stateLimits().maxRecordBytes()) {
            throw RequestRejectedException.of("windows", "the description is too long");
        }
        long[] version = new long[1];
        return ground.recordRoutines()
                .run(PoolRoutines.replace(
                        PoolRecords.POOLS + pool.name(),
                        there -> {
                            PoolSpec old =
                                    there.exists() ? PoolCodec.read(pool.name(), new Fields(there.value())) : null;
                            version[0] = there.version();
                            if (pool.equals(old)) {
                                return null;
                            }
                            if (old != null && !old.team().equals(pool.team())) {
                                throw RequestRejectedException.of(
                                        "team", "the account is that of team " + old.team() + "; set another pool");
                            }
                            if (expected >= 0 && expected != there.version()) {
                                throw RequestRejectedException.conflict(
                                        "the pool was changed: it is at version " + there.version(),
                                        old == null ? Map.of() : PoolCodec.write(old));
                            }
                            version[0]++;
                            return value;
                        },
                        written -> {}))
                .map(done -> done
                        ? ApiResponse.ok(MessagePackFormat.map("name", pool.name(), "version", version[0]))
                        : ApiResponse.retryLater("the pool changes at this moment"));
    }
}
