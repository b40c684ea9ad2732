package io.indigoreach.core.accounts;

/**
 * Who pays: a team, for machines of a pool.
 *
 * @param pool the warm pool that keeps the machines; empty for those rented for the queue
 * @param team empty: nobody used them; the service's own cost
 */
public record Account(String pool, String team) implements Comparable<Account> {
    @Override
    public int compareTo(Account other) {
        int byPool = pool.compareTo(other.pool);
        return byPool != 0 ? byPool : team.compareTo(other.team);
    }
}
