package trestleline.quality;

/** A media host and its rack, as given by the host list. Ordered by rack, then by host. */
public record HostLocation(String host, String rack) implements Comparable<HostLocation> {
    @Override
    public int compareTo(HostLocation other) {
        int byRack = rack.compareTo(other.rack);
        return byRack != 0 ? byRack : host.compareTo(other.host);
    }
}
