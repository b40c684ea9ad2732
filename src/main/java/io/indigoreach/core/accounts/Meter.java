package io.indigoreach.core.accounts;

import io.indigoreach.core.model.MachineId;
import io.indigoreach.core.model.MachinePool;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.ToDoubleFunction;

/**
 * Measures what each machine costs, and whom. Money goes from a machine's open interval into the sums by one write of its
 * page, which also says up to when it is counted; so a leader that ends anywhere loses nothing and the next counts nothing
 * twice: it goes on from there, and from the rental for a machine without a line. What was used since the last write is then
 * put down to the payer: the whole stays, its parts are off by one period.
 *
 * <p>The whole differs from the bill by: the way of a request (a second or so a machine), a look's period at its end, the time
 * without a leader for one that goes by itself then, the clocks' difference at its two ends, and what a spot price
 * moved between two looks at the catalogue.
 */
public final class Meter {
    /** Lines on a page of 8 KiB, beside the sums. */
    public static final int LINES = 40;
    /** A machine of the record that this leader has not met: it may be listed yet. */
    private static final long GRACE_MS = 20_000;

    /** A machine as it is at a look. {@code seconds}: paid for at least so long if it is returned. */
    public record Look(
            MachineId machine,
            MachinePool where,
            long rentedMs,
            Account payer,
            String image,
            double gb,
            long session,
            Map<String, Double> coresByTeam,
            double cores,
            double perHour,
            boolean returned) {}

    /** What is left of a sum of which all was taken away. */
    private static final double NOTHING = 1e-12;

    private static final class Open {
        Line line;
        final int page;
        /** Money since {@link Line#paidToMs()} as it was last known to be recorded. */
        Map<Account, Double> owed = new TreeMap<>();
        /**
         * Of writes without an answer: up to when each counts, and the money owed then. Guards against money that is counted
         * twice: any one of them may be carried out, also late, after newer ones were tried; then no other one will be.
         */
        final TreeMap<Long, Map<Account, Double>> tried = new TreeMap<>();

        boolean triedEnd;
        long lookedMs;
        double perHour;
        boolean returned;
        boolean met;
        boolean ended;
        boolean changed = true;

        Open(Line line, int page) {
            this.line = line;
            this.page = page;
            this.lookedMs = line.paidToMs();
        }

        void owe(Account account, double money) {
            owed.merge(account, money, Double::sum);
        }

        /** The write that counts up to this moment is in the record. */
        void settled(long paidTo) {
            line = line.paidTo(paidTo);
            tried.get(paidTo).forEach((account, money) -> owed.merge(account, -money, Double::sum));
            owed.values().removeIf(money -> Math.abs(money) < NOTHING);
            tried.clear();
        }
    }

    private final Map<MachineId, Open> open = new LinkedHashMap<>();
    private final Map<Integer, Sheet> sheets = new TreeMap<>();
    private final long leastPaidMs;
    private long begunMs = -1;

    /** {@code leastPaidMs}: what a machine that is returned costs at least. */
    public Meter(long leastPaidMs) {
        this.leastPaidMs = leastPaidMs;
    }

    /** A page as an earlier leader left it; {@code perHour}: the price of machines that may be gone. */
    public void recall(int page, Sheet sheet, ToDoubleFunction<MachinePool> perHour) {
        sheets.put(page, sheet);
        for (Line line : sheet.lines().values()) {
            Open o = new Open(line, page);
            o.perHour = perHour.applyAsDouble(line.where());
            o.changed = false;
            open.putIfAbsent(line.machine(), o);
        }
    }

    /** Every machine there is, at a moment; one that is missing is gone. */
    public void look(List<Look> machines, long nowMs) {
        if (begunMs < 0) {
            begunMs = nowMs;
            // Whether they are still there or not: until a leader is back that could tell, they count as paid for.
            open.values().forEach(o -> charge(o, nowMs));
        }
        Map<MachineId, Boolean> there = new HashMap<>();
        for (Look m : machines) {
            there.put(m.machine(), true);
            Open o = open.computeIfAbsent(
                    m.machine(),
                    id -> new Open(
                            new Line(
                                    id,
                                    m.where(),
                                    Math.min(m.rentedMs(), nowMs),
                                    Math.min(m.rentedMs(), nowMs),
                                    m.payer(),
                                    m.image(),
                                    m.gb(),
                                    m.session()),
                            page()));
            count(o, m, nowMs);
        }
        for (Open o : open.values()) {
            if (!o.ended && !there.containsKey(o.line.machine()) && (o.met || nowMs - begunMs >= GRACE_MS)) {
                end(o, o.met ? nowMs : o.lookedMs);
            }
        }
    }

    private void count(Open o, Look m, long nowMs) {
        double money = m.perHour() * Math.max(0, nowMs - o.lookedMs) / 3_600_000.0;
        double part = 0;
        // What was before this leader's first look is the payer's: who used it is not known.
        double used =
                o.met ? m.coresByTeam().values().stream().mapToDouble(d -> d).sum() : 0;
        for (Map.Entry<String, Double> e : (used > 0 ? m.coresByTeam() : Map.<String, Double>of()).entrySet()) {
            double share = e.getValue() / Math.max(used, m.cores());
            o.owe(new Account(o.line.payer().pool(), e.getKey()), money * share);
            part += share;
        }
        // An interval is its payer's until the look at which another pays.
        o.owe(o.line.payer(), money * Math.max(0, 1 - part));
        o.changed |= !o.line.payer().equals(m.payer())
                || !o.line.image().equals(m.image())
                || o.line.session() != m.session();
        o.line = new Line(
                o.line.machine(),
                m.where(),
                o.line.begunMs(),
                o.line.paidToMs(),
                m.payer(),
                m.image(),
                m.gb(),
                m.session());
        o.lookedMs = Math.max(o.lookedMs, nowMs);
        o.perHour = m.perHour();
        o.returned = m.returned();
        o.met = true;
    }

    private static void charge(Open o, long toMs) {
        o.owe(o.line.payer(), o.perHour * Math.max(0, toMs - o.lookedMs) / 3_600_000.0);
        o.lookedMs = Math.max(o.lookedMs, toMs);
    }

    private void end(Open o, long atMs) {
        charge(o, atMs);
        double least = o.returned ? Math.max(0, leastPaidMs - (atMs - o.line.begunMs())) / 3_600_000.0 : 0;
        o.owe(o.line.payer(), o.perHour * least);
        o.ended = true;
        o.changed = true;
    }

    private int page() {
        Map<Integer, Integer> used = new HashMap<>();
        open.values().forEach(o -> used.merge(o.page, 1, Integer::sum));
        int page = 0;
        while (used.getOrDefault(page, 0) >= LINES) {
            page++;
        }
        return page;
    }

    /** Pages whose record is behind: with {@code all} also those on which only money has grown. */
    public List<Integer> behind(boolean all) {
        List<Integer> out = new ArrayList<>();
        for (Open o : open.values()) {
            if ((o.changed || all) && !out.contains(o.page)) {
                out.add(o.page);
            }
        }
        return out;
    }

    /** What to write in place of a page, as it is in the record now. */
    public Sheet next(int page, Sheet read) {
        sheets.put(page, read);
        Map<MachineId, Line> lines = new LinkedHashMap<>();
        Map<Account, Double> sums = new TreeMap<>(read.sums());
        for (Iterator<Open> i = open.values().iterator(); i.hasNext(); ) {
            Open o = i.next();
            if (o.page != page) {
                continue;
            }
            Line there = read.lines().get(o.line.machine());
            // A write whose answer did not come was done.
            if (there == null && o.triedEnd) {
                i.remove();
                continue;
            }
            if (there != null && o.tried.containsKey(there.paidToMs())) {
                o.settled(there.paidToMs());
            }
            o.owed.forEach((account, money) -> sums.merge(account, money, Double::sum));
            o.triedEnd = o.ended;
            if (!o.ended) {
                o.tried.put(o.lookedMs, new TreeMap<>(o.owed));
                lines.put(o.line.machine(), o.line.paidTo(o.lookedMs));
            }
        }
        return new Sheet(lines, sums);
    }

    /** What {@link #next} gave is in the record. */
    public void written(int page, Sheet sheet) {
        sheets.put(page, sheet);
        for (Iterator<Open> i = open.values().iterator(); i.hasNext(); ) {
            Open o = i.next();
            if (o.page == page && o.triedEnd) {
                i.remove();
            } else if (o.page == page && !o.tried.isEmpty()) {
                o.settled(o.tried.lastKey());
                Line there = sheet.lines().get(o.line.machine());
                o.changed = (there != null && !there.equals(o.line)) || o.ended;
            }
        }
    }

    /** Whether the record says of the machine that it is in a pool. */
    public boolean isRecordedInPool(MachineId machine) {
        Open o = open.get(machine);
        Line there = o == null
                ? null
                : sheets.getOrDefault(o.page, Sheet.EMPTY).lines().get(machine);
        return there != null && !there.image().isEmpty();
    }

    public List<Line> lines() {
        return open.values().stream().map(o -> o.line).toList();
    }

    /** All sums, with what is not written yet. */
    public Map<Account, Double> sums() {
        Map<Account, Double> all = new TreeMap<>();
        sheets.values().forEach(s -> s.sums().forEach((account, money) -> all.merge(account, money, Double::sum)));
        open.values().forEach(o -> o.owed.forEach((account, money) -> all.merge(account, money, Double::sum)));
        return all;
    }
}
