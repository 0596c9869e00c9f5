"""Estimate how fast endpoints work at this moment.

Endpoints share their machines with other workloads. Each one has an estimate of its
slowness, the time that work takes relative to the usual time, on a logarithmic scale.
It is corrected by each observation according to the uncertainties of both, and returns
to the endpoint's long-term slowness while there is no observation (a Kalman filter of
a mean-reverting process). Designed for 1,100 endpoints and some hundred observations a
second; each one takes constant time.
"""

from collections.abc import Sequence
from math import exp, log, sqrt
from typing import NamedTuple

from plantainstack.serving import Endpoint

# Machines are between 0.55 and 1.2 times as fast as usual, according to the users'
# data sheets; this is the standard deviation of the logarithm.
USUAL_DEVIATION = 0.25
# Time in which the slowness of a machine returns to its long-term mean by the factor e.
# Slow endpoints stay slow for about 5 s.
RETURN_S = 5.0
# Observed time over which the long-term mean is taken.
MEAN_S = 60.0
# An endpoint that was slow for long and is not chosen any more cannot show that it has
# recovered. Without an observation for FORGET_AFTER_S, its long-term mean returns to
# that of its service, in FORGET_S by the factor e. Endpoints in use are observed more
# often, so that their mean is kept between steps and through pauses.
FORGET_AFTER_S = 30.0
FORGET_S = 30.0
# Weight of an observation in the mean of all endpoints of a service, from which an
# endpoint's own mean starts.
SERVICE_WEIGHT = 0.01
# Variances of the observations, of the logarithm. A report is exact at its moment, but
# the figure changes many times a second, and work lasts longer than that. Answers
# differ in length. Other instances publish paces up to 1 s old.
REPORT_VARIANCE = 0.04
EVENT_VARIANCE = 0.04
ANSWER_VARIANCE = 0.25
REMOTE_VARIANCE = 0.06
# Reports that follow each other within this time repeat the same figure.
REPORT_INTERVAL_S = 0.05
# Weight of an event or answer in the moving average of the usual seconds of a service.
USUAL_WEIGHT = 0.02
# Endpoints take 40 to 60 ms for an event; used until one has been measured.
INITIAL_USUAL_S = 0.05
# Bounds of a reported slowness. A report beyond them describes no machine.
SLOWNESS_MIN = 0.1
SLOWNESS_MAX = 20.0


class SpeedEstimate(NamedTuple):
    """Hold an estimate for one endpoint.

    `slowness` is relative to the usual one, 1.0. `seconds` is the expected time for an
    answer or a stream event. `deviation` is the standard deviation relative to
    `slowness`; `age_s` is the time since the last observation.
    """

    slowness: float
    seconds: float
    deviation: float
    age_s: float


class _Estimate:
    """Hold the mean and variance of an endpoint's slowness, on a logarithmic scale."""

    def __init__(self, mean: float, now: float):
        self.long_mean = mean
        self.observed_s = 0.0
        self.mean = mean
        self.variance = USUAL_DEVIATION**2
        self.observed_at = now
        self.reported_at = -REPORT_INTERVAL_S

    def at(self, now: float, service_mean: float) -> tuple[float, float]:
        """Return the mean and the variance that are expected at a time."""
        kept = exp(-max(0.0, now - self.observed_at) / RETURN_S)
        usual = USUAL_DEVIATION**2
        long_mean = self._long_mean_at(now, service_mean)
        mean = long_mean + (self.mean - long_mean) * kept
        return mean, usual + (self.variance - usual) * kept**2

    def _long_mean_at(self, now: float, service_mean: float) -> float:
        unseen_s = max(0.0, now - self.observed_at - FORGET_AFTER_S)
        kept = exp(-unseen_s / FORGET_S)
        return service_mean + (self.long_mean - service_mean) * kept

    def observe(
        self, value: float, variance: float, now: float, service_mean: float
    ) -> None:
        """Correct the estimate by an observation."""
        mean, before = self.at(now, service_mean)
        self.long_mean = self._long_mean_at(now, service_mean)
        passed_s = min(RETURN_S, max(0.0, now - self.observed_at))
        weight = passed_s / (RETURN_S + self.observed_s + passed_s)
        self.long_mean += weight * (value - self.long_mean)
        self.observed_s = min(MEAN_S, self.observed_s + passed_s)
        gain = before / (before + variance)
        self.mean = mean + gain * (value - mean)
        self.variance = (1.0 - gain) * before
        self.observed_at = now


class EndpointSpeeds:
    """Estimate the speeds of endpoints; times are monotonic seconds.

    Only services of which an endpoint has reported its slowness have estimates. State
    belongs to one run of an endpoint.
    """

    def __init__(self):
        self._estimates: dict[tuple[str, int], _Estimate] = {}
        # Usual seconds for an answer or an event of a service, None until measured.
        self._usual_s: dict[str, float | None] = {}
        # Mean slowness of the endpoints of a service, as a logarithm.
        self._means: dict[str, float] = {}

    def record_report(
        self, endpoint: Endpoint, slowness: float | None, now: float
    ) -> None:
        """Record the slowness that an endpoint reported; None changes nothing."""
        if slowness is None or not SLOWNESS_MIN <= slowness <= SLOWNESS_MAX:
            return
        self._usual_s.setdefault(endpoint.service, None)
        estimate = self._estimate(endpoint, now)
        since_s = max(0.001, now - estimate.reported_at)
        repeats = max(1.0, REPORT_INTERVAL_S / since_s)
        estimate.reported_at = now
        value = log(slowness)
        service_mean = self._mean(endpoint)
        estimate.observe(value, REPORT_VARIANCE * repeats, now, service_mean)
        before = self._means.get(endpoint.service, value)
        self._means[endpoint.service] = before + SERVICE_WEIGHT * (value - before)

    def record_events(
        self, endpoint: Endpoint, seconds: float, events: float, now: float
    ) -> None:
        """Record the seconds per event, measured over a number of events."""
        weight = min(1.0, USUAL_WEIGHT * events)
        self._measure(endpoint, seconds, EVENT_VARIANCE / events, weight, now)

    def record_answer(self, endpoint: Endpoint, seconds: float, now: float) -> None:
        """Record the seconds that an answer took."""
        self._measure(endpoint, seconds, ANSWER_VARIANCE, USUAL_WEIGHT, now)

    def record_remote(self, endpoint: Endpoint, seconds: float, now: float) -> None:
        """Record the seconds that another instance measured."""
        self._measure(endpoint, seconds, REMOTE_VARIANCE, 0.0, now)

    def estimate(self, endpoint: Endpoint, now: float) -> SpeedEstimate | None:
        """Return the estimate for an endpoint, or None if nothing is known of it."""
        found = self._estimates.get(endpoint.incarnation())
        if found is None:
            return None
        mean, variance = found.at(now, self._mean(endpoint))
        usual_s = self._usual_s.get(endpoint.service) or INITIAL_USUAL_S
        age_s = max(0.0, now - found.observed_at)
        return SpeedEstimate(exp(mean), usual_s * exp(mean), sqrt(variance), age_s)

    def is_known(self, endpoint: Endpoint) -> bool:
        """Return whether there is an estimate for an endpoint."""
        return endpoint.incarnation() in self._estimates

    def forget(self, endpoints: Sequence[Endpoint]) -> None:
        """Delete the estimates of endpoints that have gone."""
        for endpoint in endpoints:
            self._estimates.pop(endpoint.incarnation(), None)

    def _measure(
        self,
        endpoint: Endpoint,
        seconds: float,
        variance: float,
        usual_weight: float,
        now: float,
    ) -> None:
        """Correct the estimate by a time, and the usual time by the estimate."""
        if endpoint.service not in self._usual_s:
            return
        estimate = self._estimate(endpoint, now)
        usual_s = self._usual_s[endpoint.service]
        service_mean = self._mean(endpoint)
        slowness = exp(estimate.at(now, service_mean)[0])
        if usual_s is None:
            usual_s = seconds / slowness
        else:
            factor = seconds / slowness / usual_s
            usual_s *= factor**usual_weight
        self._usual_s[endpoint.service] = usual_s
        estimate.observe(log(seconds / usual_s), variance, now, service_mean)

    def _estimate(self, endpoint: Endpoint, now: float) -> _Estimate:
        key = endpoint.incarnation()
        found = self._estimates.get(key)
        if found is None:
            found = self._estimates[key] = _Estimate(self._mean(endpoint), now)
        return found

    def _mean(self, endpoint: Endpoint) -> float:
        return self._means.get(endpoint.service, 0.0)
