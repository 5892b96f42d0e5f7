package trestleline.discovery;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientAgent;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.parsetools.RecordParser;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import trestleline.config.GatewayConfig;
import trestleline.core.HostListSource;
import trestleline.hosts.HttpHostClient;
import trestleline.placement.Placement;

/**
 * HTTP client that follows the host list: a streaming response with one JSON line a change, the first one a whole list
 * (docs/wire.md). Addresses go to the host client, entries to the gateway, and the last list to a file. If the settings
 * say that lists are pushed, the client connects at the start and again after each break; otherwise it connects when
 * the module subscribes. All methods run on the event loop unless they say otherwise.
 */
public final class HostListClient implements HostListSource {
    private static final Logger LOG = LoggerFactory.getLogger(HostListClient.class);
    /** Longest accepted line; a longer one ends the connection. */
    private static final int MAX_LINE_BYTES = 4 << 20;

    private final Vertx vertx;
    private final String url;
    private final boolean pushed;
    private final HttpHostClient hosts;
    private final Consumer<Placement.HostListUpdate> updateListener;
    private final Backoff backoff;
    private final HostListFile hostListFile;
    private final HttpClientAgent client;
    private final Map<String, ListedHost> known = new TreeMap<>();
    private HttpClientRequest activeRequest;
    private boolean wanted;
    private boolean connecting;
    private boolean subscribed;
    private long invalidEntries;
    private int generation;

    /**
     * @param hosts receives the addresses of the hosts
     * @param updateListener receives each update in the form that the placement module takes
     * @param seed of the random part of the retry delays
     */
    public HostListClient(
            Vertx vertx,
            GatewayConfig config,
            HttpHostClient hosts,
            Consumer<Placement.HostListUpdate> updateListener,
            long seed) {
        this.vertx = vertx;
        this.url = config.list().url();
        this.pushed = !config.settings().subscribesToHostList();
        this.hosts = hosts;
        this.updateListener = updateListener;
        backoff = new Backoff(config.list().retryFrom(), config.list().retryTo(), seed);
        hostListFile = new HostListFile(
                config.list().saved().isEmpty() ? null : Path.of(config.list().saved()));
        client = vertx.createHttpClient(
                new HttpClientOptions().setConnectTimeout(1000).setKeepAlive(false),
                new PoolOptions().setHttp1MaxSize(4).setMaxWaitQueueSize(4));
    }

    /** Reads the last list from its file; null if there is none. Blocks: call it on a worker thread. */
    public ListedHost.Line readSaved() {
        return hostListFile.read();
    }

    /** Reports the saved list (null: an empty one) as stale, and connects if lists are pushed. */
    public void start(ListedHost.Line savedList) {
        if (savedList != null) savedList.hosts().forEach(this::store);
        updateListener.accept(new Placement.HostListUpdate(
                "stale_copy", knownEntries(), savedList == null ? 0 : savedList.version()));
        if (pushed) subscribe(true);
    }

    @Override
    public void subscribe(boolean want) {
        wanted = want;
        if (want) connect();
        else disconnect();
    }

    private void disconnect() {
        generation++;
        subscribed = false;
        connecting = false;
        if (activeRequest != null) activeRequest.reset();
        activeRequest = null;
    }

    /** Entries that were left out as invalid, plus lines that could not be parsed. */
    public long invalidEntries() {
        return invalidEntries;
    }

    /** Closes the connection; none is opened afterwards. */
    public void close() {
        wanted = false;
        disconnect();
        client.close();
    }

    private void connect() {
        if (connecting || subscribed || !wanted) return;
        connecting = true;
        int connectionGeneration = ++generation;
        client.request(new RequestOptions()
                        .setAbsoluteURI(url)
                        .setMethod(HttpMethod.GET)
                        .setTimeout(5000))
                .compose(request -> {
                    activeRequest = request;
                    request.exceptionHandler(e -> onDisconnect(connectionGeneration, e));
                    return request.send();
                })
                .onComplete(result -> {
                    if (connectionGeneration != generation) return;
                    connecting = false;
                    if (result.failed()) onDisconnect(connectionGeneration, result.cause());
                    else if (result.result().statusCode() != 200)
                        onDisconnect(
                                connectionGeneration,
                                new Exception("status " + result.result().statusCode()));
                    else readLines(connectionGeneration, result.result());
                });
    }

    private void readLines(int connectionGeneration, HttpClientResponse response) {
        subscribed = true;
        RecordParser lineParser = RecordParser.newDelimited("\n", response).maxRecordSize(MAX_LINE_BYTES);
        lineParser.handler(text -> {
            if (connectionGeneration == generation) onLine(text);
        });
        lineParser.exceptionHandler(e -> onDisconnect(connectionGeneration, e));
        lineParser.endHandler(v -> onDisconnect(connectionGeneration, new Exception("the host list feed ended")));
    }

    private void onDisconnect(int connectionGeneration, Throwable cause) {
        if (connectionGeneration != generation) return;
        disconnect();
        LOG.atWarn().addKeyValue("cause", cause.getMessage()).log("host list feed disconnected");
        updateListener.accept(new Placement.HostListUpdate("broken", List.of(), 0));
        if (pushed && wanted) vertx.setTimer((long) Math.max(1, backoff.nextDelayMs()), timer -> connect());
    }

    private void onLine(Buffer text) {
        if (text.length() == 0) return;
        ListedHost.Line line;
        try {
            line = ListedHost.parse(text.toString(StandardCharsets.UTF_8));
        } catch (IllegalArgumentException e) {
            invalidEntries++;
            LOG.atWarn().addKeyValue("cause", e.getMessage()).log("invalid line of the host list ignored");
            return;
        }
        backoff.reset();
        invalidEntries += line.errors().size();
        for (String error : line.errors())
            LOG.atWarn().addKeyValue("fault", error).log("invalid entry of the host list ignored");
        if (line.mode().equals("whole")) known.clear();
        line.hosts().forEach(this::store);
        hosts.setListedHosts(known.keySet());
        List<Placement.HostEntry> entries = new ArrayList<>();
        line.hosts().forEach(listed -> entries.add(listed.entry()));
        updateListener.accept(new Placement.HostListUpdate(line.mode(), entries, line.version()));
        hostListFile.write(vertx, ListedHost.format("whole", line.version(), List.copyOf(known.values())));
    }

    private void store(ListedHost listed) {
        if (listed.entry().status().equals("Deleted")) {
            known.remove(listed.entry().host());
            return;
        }
        known.put(listed.entry().host(), listed);
        hosts.setHostAddress(listed.entry().host(), listed.ip(), listed.port());
    }

    private List<Placement.HostEntry> knownEntries() {
        Map<String, Placement.HostEntry> entries = new LinkedHashMap<>();
        known.forEach((host, listed) -> entries.put(host, listed.entry()));
        return List.copyOf(entries.values());
    }

    @Override
    public void refresh() {
        client.request(new RequestOptions()
                        .setAbsoluteURI(url + (url.contains("?") ? "&" : "?") + "once")
                        .setTimeout(5000))
                .compose(HttpClientRequest::send)
                .compose(HttpClientResponse::body)
                .onComplete(result -> {
                    if (result.succeeded() && result.result().length() <= MAX_LINE_BYTES) onLine(result.result());
                    else updateListener.accept(new Placement.HostListUpdate("broken", List.of(), 0));
                });
    }
}
