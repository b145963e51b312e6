#!/usr/bin/env python3
"""Time from exec to GET /up 200, CPU used until then and resident memory, of the platform's jar.

usage: bench/start.py [--runs N] [--option=-XX:...] ROOT@FOLDER [ROOT@FOLDER]

Each FOLDER, relative to the ROOT of its checkout (where the class-data archive was made), holds willowdoor.jar
and willowdoor.jsa. With two folders the runs alternate between them, so that a change of the machine's speed
affects both; the figures of the second are also printed as ratios of the first.
"""
import argparse, json, os, signal, socket, statistics, subprocess, tempfile, time

OPTIONS = ("-XX:+UseSerialGC -XX:TieredStopAtLevel=1 -XX:CICompilerCount=1 -Xshare:auto -XX:-UsePerfData -Xms48m -Xmx48m -Xss256k "
           "-XX:MaxDirectMemorySize=32m -XX:MaxMetaspaceSize=40m -XX:ReservedCodeCacheSize=24m "
           "-XX:+ExitOnOutOfMemoryError -Dio.netty.leakDetection.level=disabled -Dio.netty.jfr.enabled=false").split()


def free_port():
    with socket.socket() as s:
        s.bind(("127.0.0.1", 0))
        return s.getsockname()[1]


def config(port, dead):
    entry = {"id": "s-1", "addr": "127.0.0.1:%d" % dead, "zone": "a", "kind": "k", "cell": 0,
             "state": "active", "weight": 1.0, "started_ms": 0}
    classes = [{"Name": "quote", "Repeat": "pure", "AimMs": 1500, "DeadlineMs": 4000, "Value": 1, "Group": "all"}]
    return {"name": "n0", "listen": "127.0.0.1:%d" % port, "discovery": "127.0.0.1:%d" % dead,
            "counter": "127.0.0.1:%d" % dead, "seed": "8c1f", "limits": {"cores": 1, "memory_mb": 128, "sockets": 384},
            "known": {"version": 1, "full": True, "servers": [entry]},
            "settings": {"Balancers": 2, "SelfIndex": 0, "MyZone": "a", "Discovery": "push",
                         "Bounds": {"MaxAttempts": 6, "Cancel": True, "MaxOpen": 1000},
                         "Extra": {"Counter": True, "CountLimitMs": 50, "MaxUnits": 8},
                         "Rules": {"AnswerSlackMs": 8, "ColdFrom": 0.2, "ColdMs": 9000, "TipMultiple": 3,
                                   "TipAfterMs": 2000},
                         "Profiles": classes,
                         "Tariffs": [{"Name": "basic", "Refill": 400, "PeakUnits": 4000, "WorthFactor": 1}]}}


def up(port):
    try:
        with socket.create_connection(("127.0.0.1", port), 0.5) as s:
            s.sendall(b"GET /up HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            return s.recv(64).startswith(b"HTTP/1.1 200")
    except OSError:
        return False


def cpu_ms(pid):
    """CPU time in ms of all threads that are still running; threads that have ended are not counted."""
    tasks = 0
    for task in os.listdir("/proc/%d/task" % pid):
        with open("/proc/%d/task/%s/schedstat" % (pid, task)) as f:
            tasks += int(f.read().split()[0]) / 1e6
    return tasks


def once(folder, more=()):
    port, dead = free_port(), free_port()
    with tempfile.TemporaryDirectory() as tmp:
        path = os.path.join(tmp, "config.json")
        with open(path, "w") as f:
            json.dump(config(port, dead), f)
        root, _, folder = folder.rpartition("@")
        jar = os.path.join(folder, "willowdoor.jar")
        command = ["java", *OPTIONS, *more, "-XX:SharedArchiveFile=" + os.path.join(folder, "willowdoor.jsa"),
                   "-Djava.io.tmpdir=" + tmp, "-jar", jar, "serve"]
        began = time.monotonic()
        door = subprocess.Popen(command, cwd=root or ".", env=dict(os.environ, GW_CONFIG=path), stderr=subprocess.DEVNULL)
        try:
            while not up(port):
                if door.poll() is not None or time.monotonic() - began > 30:
                    raise SystemExit("%s exited or did not answer /up within 30 s" % folder)
                time.sleep(0.005)
            took = time.monotonic() - began
            cpu = cpu_ms(door.pid)
            with open("/proc/%d/status" % door.pid) as f:
                rss = next(int(line.split()[1]) for line in f if line.startswith("VmRSS"))
        finally:
            door.send_signal(signal.SIGKILL)
            door.wait()
    return took * 1000, rss / 1024, cpu


def main():
    args = argparse.ArgumentParser(description=__doc__)
    args.add_argument("--runs", type=int, default=10)
    args.add_argument("--option", action="append", default=[], help="an additional JVM option; may be repeated")
    args.add_argument("folders", nargs="+")
    args = args.parse_args()
    for folder in args.folders:
        once(folder, args.option)
    seen = {folder: [] for folder in args.folders}
    for _ in range(args.runs):
        for folder in args.folders:
            seen[folder].append(once(folder, args.option))
    first = None
    for folder, runs in seen.items():
        took = statistics.median(r[0] for r in runs)
        rss = statistics.median(r[1] for r in runs)
        cpu = statistics.median(r[2] for r in runs)
        first = first or (took, rss, cpu)
        print("%-24s up after %6.0f ms (%.0f to %.0f), CPU %5.0f ms, resident %5.1f MB; ratios %.3f, %.3f, %.3f; %d runs"
              % (folder, took, min(r[0] for r in runs), max(r[0] for r in runs), cpu, rss, took / first[0],
                 cpu / first[2], rss / first[1], len(runs)))


main()
