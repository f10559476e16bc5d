"""The two example deployments, and synthetic ones of any size."""

import dataclasses

SLOTS = 8
CONNECTIONS = 64
RACK_SIZE = 4
FIRST_TARGET_PORT = 20000


@dataclasses.dataclass
class Deployment:
    """Pools, configuration and load mix of one deployment."""

    pools: dict  # pool -> number of targets
    entries: int  # number of entry instances
    zones: int  # number of availability zones
    plans: list
    allowances: list
    mix: list
    service_ms: dict  # pool -> mean service time of a request
    maintained: str = ""  # the pool that the demonstration maintains


def plan_row(plan, customer, availability, headroom):
    return {"plan": plan, "customer": customer, "availability": availability,
            "headroom": headroom}


def allowance_row(plan, kind, pool, instances, slots):
    return {"plan": plan, "kind": kind, "pool": pool, "instances": instances,
            "slots": slots, "connections": slots}


def mix_row(plan, kind, urgency, repeatable, weight, deadline_ms=5000,
            body_bytes=200):
    return {"plan": plan, "kind": kind, "urgency": urgency,
            "repeatable": repeatable, "weight": weight,
            "body_bytes": body_bytes, "deadline_ms": deadline_ms}


TALA = Deployment(
    pools={"checkout": 12, "badge": 10, "photo": 9, "reconcile": 8, "admin": 8},
    entries=7, zones=3,
    plans=[
        plan_row("cebu-anime", "Cebu Anime Con", 90, 25),
        plan_row("davao-meet", "Davao Cosplay Meet", 90, 25),
        plan_row("manila-expo", "Manila Fan Expo", 85, 20),
        plan_row("back-office", "Tala Pixel Works", 60, 0),
    ],
    allowances=[
        allowance_row("cebu-anime", "checkout", "checkout", 12, 40),
        allowance_row("cebu-anime", "badge-print", "badge", 10, 32),
        allowance_row("davao-meet", "checkout", "checkout", 12, 32),
        allowance_row("davao-meet", "badge-print", "badge", 10, 24),
        allowance_row("manila-expo", "checkout", "checkout", 8, 24),
        allowance_row("manila-expo", "photo-verify", "photo", 9, 64),
        allowance_row("back-office", "reconcile", "reconcile", 8, 48),
        allowance_row("back-office", "archive", "reconcile", 4, 16),
    ],
    mix=[
        mix_row("cebu-anime", "checkout", "urgent", "no", 5),
        mix_row("cebu-anime", "badge-print", "urgent", "no", 4),
        mix_row("davao-meet", "checkout", "urgent", "no", 4),
        mix_row("davao-meet", "badge-print", "normal", "no", 3),
        mix_row("manila-expo", "checkout", "urgent", "no", 3),
        mix_row("manila-expo", "photo-verify", "normal", "yes", 5, 5000, 2000),
        mix_row("back-office", "reconcile", "deferrable", "yes", 4, 20000),
        mix_row("back-office", "archive", "deferrable", "yes", 2, 20000),
    ],
    service_ms={"checkout": 40, "badge": 60, "photo": 80, "reconcile": 100,
                "admin": 20},
    maintained="reconcile",
)

ABYSSINIA = Deployment(
    pools={"stitch": 12, "zones": 10, "rebuild": 10, "archive": 8, "billing": 8},
    entries=9, zones=3,
    plans=[
        plan_row("homes", "Home robots", 85, 20),
        plan_row("clinics", "Clinics", 95, 30),
        plan_row("hotels", "Hotels", 90, 25),
        plan_row("office", "Franchise Office", 60, 0),
    ],
    allowances=[
        allowance_row("homes", "stitch", "stitch", 12, 40),
        allowance_row("homes", "rebuild", "rebuild", 10, 32),
        allowance_row("clinics", "stitch", "stitch", 12, 24),
        allowance_row("clinics", "no-go", "zones", 10, 32),
        allowance_row("hotels", "stitch", "stitch", 8, 24),
        allowance_row("hotels", "map-push", "rebuild", 10, 32),
        allowance_row("office", "archive", "archive", 8, 48),
    ],
    mix=[
        mix_row("homes", "stitch", "urgent", "yes", 5, 5000, 4000),
        mix_row("homes", "rebuild", "normal", "yes", 3, 8000, 4000),
        mix_row("clinics", "stitch", "urgent", "yes", 3, 5000, 4000),
        mix_row("clinics", "no-go", "normal", "no", 3),
        mix_row("hotels", "stitch", "urgent", "yes", 3, 5000, 4000),
        mix_row("hotels", "map-push", "urgent", "no", 4),
        mix_row("office", "archive", "deferrable", "yes", 3, 20000),
    ],
    service_ms={"stitch": 80, "zones": 40, "rebuild": 120, "archive": 100,
                "billing": 20},
    maintained="archive",
)

DEPLOYMENTS = {"tala": TALA, "abyssinia": ABYSSINIA}


def synthetic(entries, targets, pools, plans, rows_per_plan=1, zones=3):
    """Creates a deployment of a given size for measurements."""
    sizes = {f"pool-{index}": 0 for index in range(pools)}
    for index in range(targets):
        sizes[f"pool-{index % pools}"] += 1
    plan_rows = [plan_row(f"plan-{index}", f"Customer {index}", 90, 20)
                 for index in range(plans)]
    allowances = []
    mix = []
    for index in range(plans):
        for row in range(rows_per_plan):
            pool = f"pool-{(index * rows_per_plan + row) % pools}"
            kind = f"kind-{row}"
            allowances.append(allowance_row(f"plan-{index}", kind, pool,
                                            sizes[pool], SLOTS * sizes[pool]))
            mix.append(mix_row(f"plan-{index}", kind, "normal", "yes", 1))
    return Deployment(pools=sizes, entries=entries, zones=zones,
                      plans=plan_rows, allowances=allowances, mix=mix,
                      service_ms={pool: 5 for pool in sizes})


def zone_name(index, zones):
    return f"zone-{index % zones + 1}"


def target_members(deployment):
    """Returns the membership records of the targets, grouped by pool."""
    members = []
    for pool, count in deployment.pools.items():
        for index in range(count):
            number = len(members)
            members.append({
                "id": f"{pool}-{index + 1}", "role": "target", "state": "live",
                "incarnation": 1, "region": "region-1",
                "zone": zone_name(index, deployment.zones),
                "rack": f"rack-{number // RACK_SIZE + 1}",
                "pool": pool, "host": "127.0.0.1",
                "port": FIRST_TARGET_PORT + number,
                "slots": SLOTS, "connections": CONNECTIONS})
    return members


def entry_member(index, deployment, peer_port):
    zone = zone_name(index, deployment.zones)
    return {"id": f"entry-{index + 1}", "role": "entry", "state": "live",
            "incarnation": 1, "region": "region-1", "zone": zone,
            "rack": f"rack-entry-{zone}", "host": "127.0.0.1",
            "port": peer_port}
