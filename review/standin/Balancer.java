import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Stand-in for the platform's address: asks each daemon once a second whether it is ready, takes it out of rotation after
 * two misses and back with the next 200, and gives each new connection to a daemon by a hash of the client. If none is in
 * rotation, it uses all.
 */
final class Balancer {
    private final List<Daemon> daemons;
    private final Recorder recorder;
    private final Map<String, Integer> misses = new HashMap<>();

    Balancer(List<Daemon> daemons, Recorder recorder) {
        this.daemons = daemons;
        this.recorder = recorder;
        for (Daemon daemon : daemons) {
            Thread.ofPlatform().daemon().start(() -> probe(daemon));
        }
    }

    private void probe(Daemon daemon) {
        try {
            while (true) {
                int status = daemon.ready();
                synchronized (this) {
                    int before = misses.getOrDefault(daemon.name, 0);
                    int now = status == 200 ? 0 : before + 1;
                    misses.put(daemon.name, now);
                    if (before < 2 != now < 2) {
                        recorder.write(daemon.name + (now < 2 ? " is in rotation" : " is out of rotation"));
                    }
                }
                Thread.sleep(1_000);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Returns the daemon for a new connection. */
    synchronized Daemon choose(int client, int attempt) {
        List<Daemon> inRotation = new ArrayList<>();
        for (Daemon daemon : daemons) {
            if (misses.getOrDefault(daemon.name, 2) < 2) {
                inRotation.add(daemon);
            }
        }
        List<Daemon> usable = inRotation.isEmpty() ? daemons : inRotation;
        return usable.get(Math.floorMod(client + attempt, usable.size()));
    }
}
