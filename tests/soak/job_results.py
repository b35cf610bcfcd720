"""What a soak has read of its jobs: results that were read once stay as they are, at their positions."""
import json

from stand_in import call


class JobResults:
    def __init__(self, check):
        self.check = check
        self.seen = {}  # job -> the most results that were read of it

    def of(self, job):
        return self.seen.get(job, [])

    async def read(self, job, gateway):
        """Reads an accepted job from its beginning; gives how many results are listed there, none if it can't be read now."""
        status, _, body = await call(gateway, "GET", f"/v1/lots/{job}?SinceRev=0", timeout=3)
        self.check.that(status not in (404, 410), f"job {job} was accepted and is answered {status}")
        if status != 200:
            return 0
        results = json.loads(body)["Results"]
        known = self.of(job)
        both = min(len(known), len(results))
        self.check.that(results[:both] == known[:both], f"job {job}: results that were read once have changed")
        if len(results) > len(known):
            self.seen[job] = results
        return len(results)
