from greengagepath.bench.scenarios import COOPERATIVE
from greengagepath.bench.simulation import RunSetup
from greengagepath.bench.workload import LoadPhase, LoadPlan


def build_plan(end_s=6.0, load=0.6, **fields):
    return LoadPlan((LoadPhase(end_s, load),), **fields)


def build_setup(scenario=COOPERATIVE, seed=1, **fields):
    plan = fields.pop('plan', build_plan())
    return RunSetup(scenario, plan, seed, **fields)
