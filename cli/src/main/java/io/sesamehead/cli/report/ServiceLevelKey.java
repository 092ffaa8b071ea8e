package io.sesamehead.cli.report;

/**
 * Identifies a service level by service and client account.
 *
 * @param service name of the service
 * @param account name of the client account
 */
public record ServiceLevelKey(String service, String account) implements Comparable<ServiceLevelKey> {
    @Override
    public int compareTo(ServiceLevelKey other) {
        int byService = service.compareTo(other.service);
        return byService != 0 ? byService : account.compareTo(other.account);
    }
}
