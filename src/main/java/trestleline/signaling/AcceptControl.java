package trestleline.signaling;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.vertx.core.internal.net.NetSocketInternal;
import io.vertx.core.net.NetSocket;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Stops accepting connections while as many as allowed are open. Connections are accepted by a thread of their own, far
 * faster than the event loop is told of them; without a limit there the process runs out of descriptors, and accepts
 * nothing for a second. Those that are not accepted yet wait in the backlog of the socket.
 */
final class AcceptControl {
    private final int maxOpen;
    private final AtomicInteger open = new AtomicInteger();
    private boolean installed;

    /** @param maxOpen connections that may be open at once, rejected ones that are being closed among them */
    AcceptControl(int maxOpen) {
        this.maxOpen = maxOpen;
    }

    /**
     * Installs itself at the server that has accepted a connection, unless it is there already. Called for each
     * connection on the event loop; only the few that were accepted before the first call are not counted.
     */
    void install(NetSocket socket) {
        if (installed) return;
        installed = true;
        Channel server =
                ((NetSocketInternal) socket).channelHandlerContext().channel().parent();
        server.pipeline().addFirst(new AcceptCounter(server));
    }

    /** Counts what the server accepts; runs on the accepting thread. */
    private final class AcceptCounter extends ChannelInboundHandlerAdapter {
        private final Channel server;

        AcceptCounter(Channel server) {
            this.server = server;
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object accepted) {
            ((Channel) accepted).closeFuture().addListener(closed -> onClosed());
            if (open.incrementAndGet() >= maxOpen) server.config().setAutoRead(false);
            // closed meanwhile: whoever was last to look sees that there is room
            if (open.get() < maxOpen) server.config().setAutoRead(true);
            context.fireChannelRead(accepted);
        }

        private void onClosed() {
            if (open.decrementAndGet() < maxOpen) server.config().setAutoRead(true);
        }
    }
}
