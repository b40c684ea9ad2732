package io.indigoreach.state;

import io.indigoreach.core.intent.Intents;
import io.indigoreach.core.loss.RecordRepair;
import io.indigoreach.core.model.Demand;
import io.indigoreach.core.model.FencingToken;
import io.indigoreach.core.model.JobDependencies;
import io.indigoreach.core.model.JobId;
import io.indigoreach.core.model.JobKind;
import io.indigoreach.core.model.JobSpec;
import io.indigoreach.core.model.JobStatus;
import io.indigoreach.core.model.MachineId;
import io.indigoreach.core.model.MachinePool;
import io.indigoreach.core.model.MachineType;
import io.indigoreach.core.model.Revision;
import io.indigoreach.core.model.Span;
import io.indigoreach.core.model.Urgency;
import io.indigoreach.net.Fields;
import io.indigoreach.net.JsonSize;
import io.indigoreach.net.MessagePackFormat;
import io.indigoreach.net.WireException;
import java.util.ArrayList;
import java.util.Base64;
import java.util.BitSet;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;

/**
 * The records in the state service and their keys. Open jobs stand under {@code j/}, jobs that are over under
 * {@code f/}, so that a new leader reads only what is open. A key moves from the first to the second in one
 * transaction and never back, so reading them in this order finds every accepted job.
 */
public final class RecordCodec {
    public static final String LEADER = "leader";
    /** {@link CounterRecord}. */
    public static final String COUNTER = "counter";
    /** Which contents these are: {@link io.indigoreach.core.loss.LossJudge}. */
    public static final String ERA = "era";

    public static final String CATALOGUE = "catalogue";
    public static final String OPEN = "j/";
    public static final String BITS = "p/";
    public static final String MACHINES = "m/";
    /** What leaders have under way with the cloud. */
    public static final String INTENTS = "i/";
    /** Jobs that are over: these records are never removed. */
    public static final String FINAL = "f/";

    /** Up to this many tasks, the bits fit into the job's own record; a block beside it holds as many as {@link #BLOCK}. */
    static final int IN_RECORD = 8192;

    static final int BLOCK = 32768;

    static final String BITS_FIELD = "bits";

    private RecordCodec() {}

    public static String openKey(JobId id) {
        return OPEN + id.text();
    }

    public static String finalKey(JobId id) {
        return FINAL + id.text();
    }

    /** Page names hold the leader's token and a counter, so that none is ever used twice. */
    public static String machinePageKey(FencingToken token, int n) {
        return machinePageKey(token, Integer.toString(n));
    }

    public static String machinePageKey(FencingToken token, String n) {
        return MACHINES + token + "-" + n;
    }

    /**
     * The key whose version guards a write of {@code key} besides that key's own: the open job's for what belongs to a
     * job, the leader's for what only a leader writes; null if there is none.
     */
    public static String guardOf(String key) {
        if (key.startsWith(FINAL)) {
            return OPEN + key.substring(FINAL.length());
        }
        if (key.startsWith(BITS) || key.startsWith(CompletionBits.SMALL)) {
            return openKey(jobOfBlock(key));
        }
        return key.startsWith(MACHINES) || key.startsWith(INTENTS) ? LEADER : null;
    }

    /** The token in a value of {@link #LEADER}. */
    public static long token(Map<String, Object> leader) {
        return new Fields(leader).whole("token");
    }

    /** The era, by the token of the leadership that wrote it. */
    public static Map<String, Object> writeEra(FencingToken token) {
        return MessagePackFormat.map("token", token.value());
    }

    /** The same after a loss, with what showed it and how many records were written anew; {@code atMs} by the time of day. */
    public static Map<String, Object> writeEra(FencingToken token, long atMs, List<String> findings, int written) {
        return MessagePackFormat.map("token", token.value(), "at", atMs, "findings", findings, "written", written);
    }

    /** What the loss before this era was, in words for a person; empty if there was none. */
    public static List<String> readLoss(Fields era) {
        List<String> findings = era.optionalTexts("findings");
        List<String> out = new ArrayList<>();
        if (findings != null) {
            out.add("found and rebuilt by " + java.time.Instant.ofEpochMilli(era.whole("at")) + ": "
                    + era.whole("written") + " records written anew");
            out.addAll(findings);
        }
        return out;
    }

    public static long readEra(Fields era) {
        return era.whole("token");
    }

    public static JobId jobOfOpenKey(String key) {
        return readable(() -> new JobId(key.substring(OPEN.length())));
    }

    /** From where a listing is to begin for {@code key}, a job's, to be its first: ids are digits, which are below a tilde. */
    public static String keyBefore(String key) {
        int last = key.length() - 1;
        return key.substring(0, last) + (char) (key.charAt(last) - 1) + "~";
    }

    public static JobId jobOfFinalKey(String key) {
        return readable(() -> new JobId(key.substring(FINAL.length())));
    }

    /** Whatever a spoilt value makes of the reading: said in one way, so that who reads can tell it from a fault of its own. */
    static <T> T readable(Supplier<T> reading) {
        try {
            return reading.get();
        } catch (IllegalArgumentException | ClassCastException | IndexOutOfBoundsException e) {
            throw new WireException(
                    e.getClass().getSimpleName() + (e.getMessage() == null ? "" : " " + e.getMessage()));
        }
    }

    /** How many blocks of bits stand beside the record of a job. */
    public static int blocks(int tasks) {
        return tasks <= IN_RECORD ? 0 : (tasks + BLOCK - 1) / BLOCK;
    }

    /** The blocks of a job in which any of these tasks is. */
    public static List<Integer> blocksOf(int tasks, BitSet some) {
        List<Integer> out = new ArrayList<>();
        for (int n = 0; n < blocks(tasks); n++) {
            int next = some.nextSetBit(n * BLOCK);
            if (next >= 0 && next < (n + 1) * BLOCK) {
                out.add(n);
            }
        }
        return out;
    }

    public static String blockKey(JobId id, int n) {
        return BITS + id.text() + "/" + n;
    }

    public static Map<String, Object> writeBlock(BitSet done, int n) {
        return writeBits(done.get(n * BLOCK, (n + 1) * BLOCK));
    }

    static Map<String, Object> writeBits(BitSet block) {
        return MessagePackFormat.map(BITS_FIELD, bits(block));
    }

    static BitSet readBits(Fields block) {
        return readable(() -> bits(block.optionalText(BITS_FIELD)));
    }

    /** Adds a block's bits to {@code into}; returns the job it belongs to by its key. */
    public static JobId jobOfBlock(String key) {
        return readable(() -> new JobId(key.substring(BITS.length(), key.lastIndexOf('/'))));
    }

    public static void readBlock(String key, Fields value, BitSet into) {
        int n = readable(() -> Integer.parseInt(key.substring(key.lastIndexOf('/') + 1)));
        BitSet block = readable(() -> bits(value.optionalText("bits")));
        for (int i = block.nextSetBit(0); i >= 0; i = block.nextSetBit(i + 1)) {
            into.set(n * BLOCK + i);
        }
    }

    public static Map<String, Object> writeJob(
            JobSpec s, long submittedMs, JobStatus status, BitSet done, int running, int bound) {
        Map<String, Object> map = MessagePackFormat.map(
                "class",
                s.jobClass(),
                "team",
                s.team(),
                "shape",
                s.kind().name(),
                "urgency",
                s.urgency().name(),
                "tasks",
                s.tasks(),
                "cores",
                s.demand().cores(),
                "gpus",
                s.demand().gpus(),
                "ram",
                s.demand().ramGb(),
                "image",
                s.image(),
                "gb",
                s.imageGb(),
                "est",
                s.estimate().ms(),
                "at",
                submittedMs,
                "status",
                status.name(),
                "done",
                done.cardinality(),
                "running",
                running,
                "bound",
                bound);
        putIf(map, "types", s.types(), s.types() != null);
        putIf(map, "zone", s.zone(), s.zone() != null);
        putIf(map, "one_zone", true, s.oneZone());
        putIf(map, "spread", true, s.spread());
        putIf(map, "spot", true, s.spotAllowed());
        putIf(map, "save_every", s.checkpointEvery().ms(), s.checkpointEvery().ms() > 0);
        putIf(map, "save", s.checkpointTime().ms(), s.checkpointTime().ms() > 0);
        putIf(map, "due", s.due() == null ? null : s.due().ms(), s.due() != null);
        putIf(
                map,
                "more",
                DependencyCodec.write(s.more(), s.dependencies()),
                !s.more().isEmpty() || !s.dependencies().isEmpty());
        putIf(map, "bits", s.tasks() <= IN_RECORD ? bits(done) : null, s.tasks() <= IN_RECORD && !done.isEmpty());
        return map;
    }

    private static void putIf(Map<String, Object> map, String key, Object value, boolean present) {
        if (present) {
            map.put(key, value);
        }
    }

    /** Throws {@link WireException} if it cannot be read. */
    public static JobRecord readJob(JobId id, Fields f, Revision stamp) {
        return readable(() -> job(id, f, stamp));
    }

    /** What a record that cannot be read as a whole still says; null where it does not. */
    public static RecordRepair.Rest readRest(Fields f) {
        return new RecordRepair.Rest(
                orNull(() -> JobStatus.valueOf(f.text("status"))),
                orNull(() -> f.whole("done")),
                orNull(() -> f.whole("at")));
    }

    private static <T> T orNull(Supplier<T> reading) {
        try {
            return readable(reading);
        } catch (WireException e) {
            return null;
        }
    }

    private static JobRecord job(JobId id, Fields f, Revision stamp) {
        if (f.whole("tasks") < 1) {
            throw Fields.invalid("tasks");
        }
        JobSpec spec = JobSpec.builder(id)
                .jobClass(f.text("class"))
                .team(f.text("team"))
                .kind(JobKind.valueOf(f.text("shape")))
                .urgency(Urgency.valueOf(f.text("urgency")))
                .tasks((int) f.whole("tasks"))
                .demand(new Demand(f.number("cores"), f.number("gpus"), f.number("ram")))
                .image(f.text("image"))
                .imageGb(f.number("gb"))
                .types(f.optionalTexts("types"))
                .zone(f.optionalText("zone"))
                .oneZone(f.flag("one_zone", false))
                .spread(f.flag("spread", false))
                .spotAllowed(f.flag("spot", false))
                .estimate(new Span(f.whole("est")))
                .checkpointEvery(new Span(f.whole("save_every", 0)))
                .checkpointTime(new Span(f.whole("save", 0)))
                .due(f.has("due") ? new Span(f.whole("due")) : null)
                .more(f.has("more") ? DependencyCodec.without(f.child("more").map()) : Map.of())
                .dependencies(f.has("more") ? DependencyCodec.read(f.child("more")) : JobDependencies.NONE)
                .build();
        return new JobRecord(
                spec,
                f.whole("at"),
                JobStatus.valueOf(f.text("status")),
                bits(f.optionalText("bits")),
                (int) f.whole("done", 0),
                (int) f.whole("running", 0),
                (int) f.whole("bound", spec.tasks()),
                stamp);
    }

    public static Map<String, Object> writeFinal(JobStatus status, int done) {
        return MessagePackFormat.map("status", status.name(), "done", done);
    }

    /** Throws {@link WireException} if it cannot be read. */
    public static FinalRecord readFinal(JobId id, Fields f) {
        return readable(() -> new FinalRecord(id, JobStatus.valueOf(f.text("status")), (int) f.whole("done", 0)));
    }

    /** A page of machines; each is a list, as hundreds of them are written. */
    public static Map<String, Object> writeMachines(Collection<MachineRecord> machines) {
        List<Object> lines = new ArrayList<>(machines.size());
        for (MachineRecord m : machines) {
            lines.add(line(m));
        }
        return MessagePackFormat.map("machines", lines);
    }

    private static List<Object> line(MachineRecord m) {
        return List.of(m.id().text(), m.pool().type(), m.pool().zone(), m.pool().spot(), m.rentedMs(), m.existedMs());
    }

    public static List<MachineRecord> readMachines(Fields f) {
        return readable(() -> machines(f));
    }

    private static List<MachineRecord> machines(Fields f) {
        List<MachineRecord> out = new ArrayList<>();
        for (List<?> m : f.lists("machines")) {
            out.add(new MachineRecord(
                    new MachineId((String) m.get(0)),
                    new MachinePool((String) m.get(1), (String) m.get(2), (Boolean) m.get(3)),
                    (Long) m.get(4),
                    (Long) m.get(5)));
        }
        return out;
    }

    public static String intentsKey(FencingToken token) {
        return INTENTS + token;
    }

    /** Requests to rent and machines to be returned; lists, as there may be a hundred. */
    public static Map<String, Object> writeIntents(Intents.Page page) {
        List<Object> rents = new ArrayList<>();
        page.rents().forEach(r -> rents.add(line(r)));
        return MessagePackFormat.map(
                "rents",
                rents,
                "condemned",
                page.returns().stream().map(MachineId::text).toList());
    }

    private static List<Object> line(Intents.Rent r) {
        return List.of(r.name(), r.pool().type(), r.pool().zone(), r.pool().spot(), (long) r.count(), r.askedMs());
    }

    /** What a request to rent takes of its record, with the comma after it. */
    public static int bytes(Intents.Rent rent) {
        return JsonSize.of(line(rent)) + 1;
    }

    /** What a machine to be returned takes of its record, with the comma after it. */
    public static int bytes(MachineId condemned) {
        return JsonSize.of(condemned.text()) + 1;
    }

    public static Intents.Page readIntents(Fields f) {
        List<Intents.Rent> rents = new ArrayList<>();
        for (List<?> r : f.lists("rents")) {
            rents.add(new Intents.Rent(
                    (String) r.get(0),
                    new MachinePool((String) r.get(1), (String) r.get(2), (Boolean) r.get(3)),
                    ((Long) r.get(4)).intValue(),
                    (Long) r.get(5)));
        }
        List<String> names = f.optionalTexts("condemned");
        return new Intents.Page(
                rents,
                names == null ? List.of() : names.stream().map(MachineId::new).toList());
    }

    /** What a machine takes of its page's value, with the comma after it. */
    public static int bytes(MachineRecord m) {
        return JsonSize.of(line(m)) + 1;
    }

    public static Map<String, Object> writeCatalogue(List<MachineType> types) {
        List<Object> list = new ArrayList<>();
        for (MachineType type : types) {
            list.add(MessagePackFormat.map(
                    "name",
                    type.name(),
                    "cores",
                    type.capacity().cores(),
                    "gpus",
                    type.capacity().gpus(),
                    "ram",
                    type.capacity().ramGb(),
                    "cache",
                    type.cacheGb(),
                    "fetch",
                    type.fetchGbPerS(),
                    "price",
                    type.price(),
                    "spot",
                    type.spotPrice(),
                    "boot",
                    type.boot().ms(),
                    "zones",
                    type.zones()));
        }
        return MessagePackFormat.map("types", list);
    }

    public static List<MachineType> readCatalogue(Fields f) {
        List<MachineType> types = new ArrayList<>();
        for (Fields t : f.children("types")) {
            types.add(new MachineType(
                    t.text("name"),
                    new Demand(t.number("cores"), t.number("gpus"), t.number("ram")),
                    t.number("cache"),
                    t.number("fetch"),
                    t.number("price"),
                    t.number("spot"),
                    new Span(t.whole("boot")),
                    t.optionalTexts("zones")));
        }
        return types;
    }

    private static String bits(BitSet set) {
        return Base64.getEncoder().withoutPadding().encodeToString(set.toByteArray());
    }

    private static BitSet bits(String text) {
        return text == null ? new BitSet() : BitSet.valueOf(Base64.getDecoder().decode(text));
    }
}
