package willowdoor.testkit;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.redis.ArrayRedisMessage;
import io.netty.handler.codec.redis.ErrorRedisMessage;
import io.netty.handler.codec.redis.FullBulkStringRedisMessage;
import io.netty.handler.codec.redis.InlineCommandRedisMessage;
import io.netty.handler.codec.redis.IntegerRedisMessage;
import io.netty.handler.codec.redis.RedisArrayAggregator;
import io.netty.handler.codec.redis.RedisBulkStringAggregator;
import io.netty.handler.codec.redis.RedisDecoder;
import io.netty.handler.codec.redis.RedisEncoder;
import io.netty.handler.codec.redis.RedisMessage;
import io.netty.handler.codec.redis.SimpleStringRedisMessage;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.math.BigDecimal;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.HexFormat;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Stand-in of a Valkey or Redis server (RESP version 2, as both document it): names with an expiry, scripts
 * by digest, users with permissions, pauses, and a replica that can be promoted. The only script that it runs
 * is the door's add, identified by the commands that its text calls; any other is answered with an error.
 * {@link #setErrorReply} makes it answer data commands with an error line, like a server that is loading its
 * data, has moved a slot or is out of memory.
 *
 * <p>Bounds: {@value #MAX_NAMES} names, beyond which adds are answered with OOM, and {@value
 * #MAX_PAUSED_COMMANDS} commands held during a pause, beyond which connections are closed.
 */
public final class StandInValkey implements AutoCloseable {

  private static final int MAX_NAMES = 200_000;
  private static final int MAX_PAUSED_COMMANDS = 20_000;
  private static final int MAX_BULK_BYTES = 64 * 1024;
  private static final int MAX_ARGUMENTS = 1_024;
  private static final long TIMEOUT_MS = 20_000;
  private static final Pattern CALLS = Pattern.compile("redis\\.call\\('([A-Z]+)'");
  /** Commands that the door's script calls, in the order of its text. */
  private static final List<String> ADD_SCRIPT_CALLS = List.of("GET", "SET", "EXISTS", "INCRBYFLOAT",
      "PEXPIRE");
  private static final RedisMessage OK = new SimpleStringRedisMessage("OK");

  private record Value(String text, double expiresAtMs) { }

  /**
   * A user: its password, and either permission for everything or its permitted commands and key patterns.
   */
  private static final class User {
    private String password = "";
    private boolean all = true;
    private final Set<String> commands = new HashSet<>();
    private final List<Pattern> keys = new ArrayList<>();

    boolean mayRun(String command) {
      return all || commands.contains(command);
    }

    boolean mayAccess(String key) {
      return all || keys.stream().anyMatch(p -> p.matcher(key).matches());
    }
  }

  /** Rejects a command that is invalid or not permitted; the message is the complete error line. */
  private static final class CommandException extends Exception {
    private static final long serialVersionUID = 1;

    CommandException(String line) {
      super(line, null, false, false);
    }
  }

  private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1,
      NioIoHandler.newFactory());
  private final EventLoop loop = group.next();
  private final Map<String, Value> data = new HashMap<>();
  private final Map<String, List<String>> scripts = new HashMap<>();
  private final Map<String, User> users = new HashMap<>();
  private final List<StandInValkey> replicas = new ArrayList<>();
  private final ArrayDeque<Runnable> pausedCommands = new ArrayDeque<>();
  private final ChannelGroup connections = new DefaultChannelGroup(loop);
  private StandInValkey primary;
  private double pausedUntilMs;
  private String errorReply;
  private long adds;
  private final Map<InetSocketAddress, Channel> serverChannels = new ConcurrentHashMap<>();
  private InetSocketAddress address = StandIns.anyAddress();

  /** A server that requires no password. */
  public StandInValkey() throws IOException {
    this("");
  }

  /** A server whose default user has this password; an empty one means none is required. */
  public StandInValkey(String password) throws IOException {
    users.put("default", new User());
    users.get("default").password = password;
    start();
  }

  /** A replica of another server; it rejects writes until it receives {@code REPLICAOF NO ONE}. */
  public static StandInValkey replicaOf(StandInValkey primary) throws IOException {
    StandInValkey made = new StandInValkey();
    made.primary = primary;
    primary.onLoop(() -> {
      Map<String, Value> copy = new HashMap<>(primary.data);
      made.loop.execute(() -> made.data.putAll(copy));
      primary.replicas.add(made);
    });
    made.onLoop(() -> { });
    return made;
  }

  public InetSocketAddress address() {
    return address;
  }

  /** Starts the server without data at its address. */
  public void start() throws IOException {
    address = listenAt(address);
  }

  /**
   * Listens at a further address, like a server that takes over an address in a failover; port 0 selects any
   * free port.
   */
  public InetSocketAddress listenAt(InetSocketAddress at) throws IOException {
    Channel made = StandIns.listen(new ServerBootstrap().group(group).channel(NioServerSocketChannel.class)
        .option(ChannelOption.SO_REUSEADDR, true)
        .childHandler(new ChannelInitializer<Channel>() {
          @Override
          protected void initChannel(Channel channel) {
            connections.add(channel);
            channel.pipeline().addLast(new RedisDecoder(true), new RedisBulkStringAggregator(),
                new RedisArrayAggregator(MAX_ARGUMENTS, 1), new RedisEncoder(), new Connection());
          }
        }), at);
    InetSocketAddress bound = (InetSocketAddress) made.localAddress();
    serverChannels.put(bound, made);
    return bound;
  }

  /** Stops listening at that address and closes the connections made to it. */
  public void stopListening(InetSocketAddress at) throws IOException {
    serverChannels.remove(at).close().syncUninterruptibly();
    onLoop(() -> connections.close(c -> at.equals(c.localAddress())));
  }

  /** Simulates a killed server: connections are closed and all data is lost. */
  public void kill() throws IOException {
    serverChannels.values().forEach(l -> l.close().syncUninterruptibly());
    serverChannels.clear();
    onLoop(() -> {
      connections.close();
      data.clear();
      scripts.clear();
      pausedCommands.clear();
      pausedUntilMs = 0;
      errorReply = null;
    });
  }

  /** Makes data commands fail with this error line, such as {@code LOADING ...}; null ends that. */
  public void setErrorReply(String line) throws IOException {
    onLoop(() -> errorReply = line);
  }

  /** Number of adds executed so far. */
  public long adds() throws IOException {
    long[] result = new long[1];
    onLoop(() -> result[0] = adds);
    return result[0];
  }

  /** Sum of the unexpired counts whose names start with the prefix. */
  public double sum(String prefix) throws IOException {
    double[] result = new double[1];
    onLoop(() -> data.forEach((key, value) -> result[0] += key.startsWith(prefix) && value.expiresAtMs > now()
        ? Double.parseDouble(value.text) : 0));
    return result[0];
  }

  /**
   * Runs a command on a new connection, as an inline command; returns the first line of the answer, or the
   * content of a bulk string.
   */
  public String runCommand(String command) throws IOException {
    try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
      socket.setSoTimeout((int) TIMEOUT_MS);
      socket.getOutputStream().write((command + "\r\n").getBytes(StandardCharsets.US_ASCII));
      BufferedReader in = new BufferedReader(new InputStreamReader(socket.getInputStream(),
          StandardCharsets.US_ASCII));
      String line = in.readLine();
      return line == null ? "" : line.startsWith("$") && !line.equals("$-1") ? in.readLine() : line;
    }
  }

  @Override
  public void close() throws IOException {
    kill();
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  private void onLoop(Runnable task) throws IOException {
    try {
      loop.submit(task).get(TIMEOUT_MS, TimeUnit.MILLISECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IOException(e);
    } catch (ExecutionException | java.util.concurrent.TimeoutException e) {
      throw new IOException(e);
    }
  }

  private static double now() {
    return System.nanoTime() / 1e6;
  }

  /** One client connection: its user, and its commands in order. */
  private final class Connection extends SimpleChannelInboundHandler<RedisMessage> {
    private User user = users.get("default").password.isEmpty() ? users.get("default") : null;
    private String name = "default";

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, RedisMessage message) {
      List<String> arguments = new ArrayList<>();
      if (message instanceof InlineCommandRedisMessage line) {
        arguments.addAll(List.of(line.content().trim().split(" +")));
      } else if (message instanceof ArrayRedisMessage array) {
        for (RedisMessage m : array.children()) {
          if (m instanceof FullBulkStringRedisMessage text
              && text.content().readableBytes() <= MAX_BULK_BYTES) {
            arguments.add(text.content().toString(StandardCharsets.UTF_8));
          }
        }
      }
      if (arguments.isEmpty() || arguments.get(0).isEmpty()) {
        ctx.writeAndFlush(new ErrorRedisMessage("ERR Protocol error: expected a command"));
        ctx.close();
      } else if (now() >= pausedUntilMs && pausedCommands.isEmpty()) {
        answer(ctx, arguments);
      } else if (pausedCommands.size() >= MAX_PAUSED_COMMANDS) {
        ctx.close();
      } else {
        pausedCommands.add(() -> answer(ctx, arguments));
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      ctx.close();
    }

    private void answer(ChannelHandlerContext ctx, List<String> arguments) {
      RedisMessage answer;
      try {
        answer = perform(ctx, arguments.get(0).toUpperCase(Locale.ROOT), arguments);
      } catch (CommandException e) {
        answer = new ErrorRedisMessage(e.getMessage());
      } catch (IndexOutOfBoundsException | NumberFormatException e) {
        answer = new ErrorRedisMessage("ERR wrong number or kind of arguments for '" + arguments.get(0)
            + "' command");
      }
      ctx.writeAndFlush(answer);
    }

    private RedisMessage perform(ChannelHandlerContext ctx, String command, List<String> arguments)
        throws CommandException {
      if (command.equals("AUTH")) {
        return authenticate(arguments);
      }
      if (user == null) {
        throw new CommandException("NOAUTH Authentication required.");
      }
      String sub = arguments.size() > 1 ? arguments.get(1).toLowerCase(Locale.ROOT) : "";
      String right = command.toLowerCase(Locale.ROOT) + (command.equals("SCRIPT") ? "|" + sub : "");
      if (!user.mayRun(right)) {
        throw new CommandException("NOPERM User " + name + " has no permissions to run the '" + right
            + "' command");
      }
      return switch (command) {
        case "PING" -> new SimpleStringRedisMessage("PONG");
        case "HELLO" -> throw new CommandException("NOPROTO unsupported protocol version");
        case "CLIENT" -> client(ctx, sub, arguments);
        case "ACL" -> setUser(sub, arguments);
        case "SCRIPT" -> script(sub, arguments);
        case "REPLICAOF" -> promote(arguments);
        default -> onData(command, arguments);
      };
    }

    private RedisMessage authenticate(List<String> arguments) throws CommandException {
      String who = arguments.size() > 2 ? arguments.get(1) : "default";
      User found = users.get(who);
      if (found == null || !found.password.equals(arguments.get(arguments.size() - 1))) {
        throw new CommandException("WRONGPASS invalid username-password pair or user is disabled.");
      }
      user = found;
      name = who;
      return OK;
    }

    private RedisMessage client(ChannelHandlerContext ctx, String sub, List<String> arguments) {
      if (sub.equals("pause")) {
        long ms = Long.parseLong(arguments.get(2));
        pausedUntilMs = now() + ms;
        loop.schedule(StandInValkey.this::resume, ms, TimeUnit.MILLISECONDS);
      } else if (sub.equals("kill")) {
        int ended = connections.size() - 1;
        connections.close(c -> c != ctx.channel());
        return new IntegerRedisMessage(ended);
      }
      return OK;
    }

    private RedisMessage onData(String command, List<String> arguments) throws CommandException {
      if (errorReply != null) {
        throw new CommandException(errorReply);
      }
      switch (command) {
        case "GET" -> {
          Value v = liveValue(arguments.get(1));
          return v == null ? FullBulkStringRedisMessage.NULL_INSTANCE : text(v.text);
        }
        case "DBSIZE" -> {
          data.values().removeIf(v -> v.expiresAtMs <= now());
          return new IntegerRedisMessage(data.size());
        }
        case "FLUSHALL" -> {
          data.clear();
          return OK;
        }
        case "EVALSHA" -> {
          return add(arguments);
        }
        default -> throw new CommandException("ERR unknown command '" + command + "'");
      }
    }

    /**
     * The door's add script: sets the epoch key when it does not exist, adds to the count, and sets the
     * expiry of a new count.
     */
    private RedisMessage add(List<String> arguments) throws CommandException {
      List<String> calls = scripts.get(arguments.get(1));
      if (calls == null) {
        throw new CommandException("NOSCRIPT No matching script. Please use EVAL.");
      }
      if (!calls.equals(ADD_SCRIPT_CALLS)) {
        throw new CommandException("ERR this stand-in does not support a script that calls " + calls
            + " (expected: " + ADD_SCRIPT_CALLS
            + ")");
      }
      for (String call : calls) {
        if (!user.mayRun(call.toLowerCase(Locale.ROOT))) {
          throw new CommandException("ERR ACL failure in script: User " + name
              + " has no permissions to run the '"
              + call.toLowerCase(Locale.ROOT) + "' command");
        }
      }
      String count = arguments.get(3);
      String epochKey = arguments.get(4);
      if (!user.mayAccess(count) || !user.mayAccess(epochKey)) {
        throw new CommandException("NOPERM No permissions to access a key");
      }
      if (primary != null) {
        throw new CommandException("READONLY You can't write against a read only replica.");
      }
      if (data.size() >= MAX_NAMES) {
        throw new CommandException("OOM command not allowed when used memory > 'maxmemory'.");
      }
      Value epoch = liveValue(epochKey);
      if (epoch == null) {
        epoch = new Value(arguments.get(7), Double.POSITIVE_INFINITY);
        write(epochKey, epoch);
      }
      Value oldCount = liveValue(count);
      BigDecimal total = new BigDecimal(oldCount == null ? "0" : oldCount.text)
          .add(new BigDecimal(arguments.get(5)));
      String newTotal = total.signum() == 0 ? "0" : total.stripTrailingZeros().toPlainString();
      write(count, new Value(newTotal, oldCount == null ? now() + Long.parseLong(arguments.get(6))
          : oldCount.expiresAtMs));
      adds++;
      return new ArrayRedisMessage(List.of(text(newTotal), text(epoch.text)));
    }
  }

  private RedisMessage setUser(String sub, List<String> arguments) throws CommandException {
    if (!sub.equals("setuser")) {
      throw new CommandException("ERR unknown subcommand '" + sub + "'");
    }
    User user = users.computeIfAbsent(arguments.get(2), n -> new User());
    for (String rule : arguments.subList(3, arguments.size())) {
      String rest = rule.substring(1);
      switch (rule.charAt(0)) {
        case '>' -> user.password = rest;
        case '~' -> user.keys.add(Pattern.compile(Pattern.quote(rest).replace("*", "\\E.*\\Q")));
        case '+' -> {
          user.all |= rest.equals("@all");
          user.commands.add(rest);
        }
        case '-' -> {
          user.all &= !rest.equals("@all");
          user.commands.remove(rest);
        }
        default -> { }
      }
    }
    return OK;
  }

  private RedisMessage script(String sub, List<String> arguments) {
    if (sub.equals("flush")) {
      scripts.clear();
      return OK;
    }
    String source = arguments.get(2);
    List<String> calls = new ArrayList<>();
    for (Matcher m = CALLS.matcher(source); m.find();) {
      calls.add(m.group(1));
    }
    try {
      String digest = HexFormat.of().formatHex(MessageDigest.getInstance("SHA-1")
          .digest(source.getBytes(StandardCharsets.UTF_8)));
      scripts.put(digest, calls);
      return text(digest);
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException(e);
    }
  }

  /** A promoted replica keeps its data and no longer receives writes from its former primary. */
  private RedisMessage promote(List<String> arguments) throws CommandException {
    if (!arguments.get(1).equalsIgnoreCase("no")) {
      throw new CommandException("ERR only REPLICAOF NO ONE is supported");
    }
    StandInValkey formerPrimary = primary;
    primary = null;
    if (formerPrimary != null) {
      formerPrimary.loop.execute(() -> formerPrimary.replicas.remove(this));
    }
    return OK;
  }

  private Value liveValue(String key) {
    Value value = data.get(key);
    if (value != null && value.expiresAtMs <= now()) {
      data.remove(key);
      return null;
    }
    return value;
  }

  private void write(String key, Value value) {
    data.put(key, value);
    for (StandInValkey replica : replicas) {
      replica.loop.execute(() -> {
        if (replica.primary == this) {
          replica.data.put(key, value);
        }
      });
    }
  }

  private void resume() {
    while (now() >= pausedUntilMs && !pausedCommands.isEmpty()) {
      pausedCommands.poll().run();
    }
  }

  private static RedisMessage text(String text) {
    return new FullBulkStringRedisMessage(Unpooled.copiedBuffer(text, StandardCharsets.UTF_8));
  }
}
