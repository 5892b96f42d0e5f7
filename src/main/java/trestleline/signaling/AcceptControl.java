package trestleline.signaling;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.AttributeKey;
import io.vertx.core.internal.net.NetSocketInternal;
import io.vertx.core.net.NetSocket;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Stops accepting connections while as many as allowed are open. Connections are accepted by a thread of their own, far
 * faster than the event loop is told of them; without a limit there the process runs out of descriptors, and accepts
 * nothing for a second. Those that are not accepted yet wait in the backlog of the socket.
 */
final class AcceptControl {
    private static final AttributeKey<Boolean> COUNTED = AttributeKey.valueOf(AcceptControl.class, "counted");
    private final int maxOpen;
    private final AtomicInteger open = new AtomicInteger();
    private boolean installed;

    /** @param maxOpen connections that may be open at once, rejected ones that are being closed among them */
    AcceptControl(int maxOpen) {
        this.maxOpen = maxOpen;
    }

    /**
     * Must be called for each connection on the event loop. The first call installs this at the server that has
     * accepted the connection; the few that were accepted before are counted as they come.
     */
    void opened(NetSocket socket) {
        Channel channel = ((NetSocketInternal) socket).channelHandlerContext().channel();
        Channel server = channel.parent();
        if (!installed) server.pipeline().addFirst(new AcceptCounter());
        installed = true;
        if (!channel.hasAttr(COUNTED)) count(server, channel);
    }

    private void count(Channel server, Channel accepted) {
        accepted.attr(COUNTED).set(true);
        accepted.closeFuture().addListener(closed -> {
            if (open.decrementAndGet() < maxOpen) server.config().setAutoRead(true);
        });
        if (open.incrementAndGet() >= maxOpen) server.config().setAutoRead(false);
        // closed meanwhile: whoever was last to look sees that there is room
        if (open.get() < maxOpen) server.config().setAutoRead(true);
    }

    /** Counts what the server accepts; runs on the accepting thread. */
    private final class AcceptCounter extends ChannelInboundHandlerAdapter {
        @Override
        public void channelRead(ChannelHandlerContext context, Object accepted) {
            count(context.channel(), (Channel) accepted);
            context.fireChannelRead(accepted);
        }
    }
}
