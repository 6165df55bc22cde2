//! Choice of the endpoint for one attempt.
//!
//! Engines order their own queues by urgency, so a request is sent as soon as an engine can start
//! its response on time. Under overload, sending everything would make every response late, so the
//! excess is refused at once with the time after which there should be capacity.

use std::time::Duration;

use crate::assign::score;
use crate::board::candidates::Candidate;
use crate::board::load::Load;
use crate::board::request::{Choice, Denial, DenialCause, PlacementRequest, PromptPart};
use crate::board::select::{MIN_RETRY_AFTER, cheapest, pick, too_late};
use crate::board::{Board, BoardEndpoint, Stage};
use crate::keys::EndpointKey;
use crate::moment::Moment;

/// Waiting attempts per slot above which an endpoint of a plain service counts as full.
const MAX_PLAIN_QUEUE: f64 = 2.0;

/// Assumed time for which an attempt at a plain service occupies a slot.
const PLAIN_DURATION: Duration = Duration::from_millis(60);

/// Load subtracted for an endpoint in the instance's own failure domain.
const DOMAIN_ADVANTAGE: f64 = 0.05;

/// Load added for an endpoint's failure rate, at a rate of 1.
const FAILURE_LOAD: f64 = 2.0;

/// Cost subtracted for the engine that the hash of a shared prompt part prefers, in milliseconds.
/// It makes instances that do not know of each other's latest choices pick the same engine.
const AFFINITY_MS: f64 = 30.0;

/// Longest transfer of a backup copy of a run's KV cache on an engine's link, in milliseconds.
const MAX_COPY_MS: f64 = 5.0;

/// Time after which a caller should retry if a service has no endpoint.
const NO_ENDPOINT_RETRY_AFTER: Duration = Duration::from_secs(1);

impl Board {
    /// Chooses the endpoint of a call to a plain service: the least loaded one.
    ///
    /// # Errors
    ///
    /// [`Denial`] if no endpoint accepts work or all are full.
    pub fn choose_plain(&self, request: &PlacementRequest, now: Moment) -> Result<Choice, Denial> {
        let waiting = |endpoint: &BoardEndpoint| {
            f64::from(endpoint.load(now).attempts) / f64::from(endpoint.facts.slots.max(1))
        };
        let candidates = self.eligible(request, None, now).map(|(key, endpoint)| {
            let waiting = waiting(endpoint);
            let near = if endpoint.facts.domain == request.domain { DOMAIN_ADVANTAGE } else { 0.0 };
            let pace = endpoint.pace(now);
            let nominal = PLAIN_DURATION.mul_f64((waiting - 1.0).max(0.0) + 1.0);
            let load = Load { attempts: 1, ..Load::default() };
            let expected = nominal.mul_f64(pace);
            let cost = waiting * pace - near + endpoint.health.rate(now) * FAILURE_LOAD;
            let choice = Choice {
                key,
                load,
                expected,
                nominal,
                duration: None,
                prefill_only: false,
                fetch: None,
            };
            Candidate { choice, wait: Duration::ZERO, interference: 0.0, cost }
        });
        let candidate = pick(&candidates.collect::<Vec<_>>(), 0.0, request.draw);
        let candidate = candidate.ok_or_else(|| self.denial(request, None, now))?;
        let waiting = waiting(&self.endpoints[candidate.choice.key]);
        if waiting > MAX_PLAIN_QUEUE + 1.0 {
            return Err(too_late(PLAIN_DURATION.mul_f64(waiting)));
        }
        Ok(candidate.choice)
    }

    /// Chooses where a generation starts: at a prefill engine, with decode at another one, or at
    /// an engine that does the whole run. Prefill engines are considered only if `split`.
    ///
    /// Requests that share a part of their prompt are sent to the engines that have it cached. An
    /// engine that would have to process the part again is used only if that is cheaper even when
    /// the delay of other requests is counted, so that copies do not evict each other under load.
    ///
    /// # Errors
    ///
    /// [`Denial`] if no engine can start the response within the limit.
    pub fn choose_run(
        &self,
        request: &PlacementRequest,
        split: bool,
        now: Moment,
    ) -> Result<Choice, Denial> {
        let preferred = self.preferred(request, Stage::Prefill, now);
        let decode = self.eligible(request, Some(Stage::Decode), now);
        let decode =
            decode.map(|(key, endpoint)| self.decode_candidate(key, endpoint, request, false, now));
        let decode = decode.min_by(|a, b| a.cost.total_cmp(&b.cost));
        let whole = self.eligible(request, Some(Stage::Decode), now);
        let whole = whole.map(|(key, endpoint)| self.whole_candidate(key, endpoint, request, now));
        let prefill = self.eligible(request, Some(Stage::Prefill), now).filter(|_| split);
        let prefill =
            prefill.zip(std::iter::repeat(decode)).filter_map(|((key, endpoint), decode)| {
                let mut candidate = self.prefill_candidate(key, endpoint, request, &decode?, now);
                candidate.cost -= if preferred == Some(key) { AFFINITY_MS } else { 0.0 };
                Some(candidate)
            });
        cheapest(whole.chain(prefill), request)
            .unwrap_or_else(|| Err(self.denial(request, Some(Stage::Decode), now)))
    }

    /// Chooses the decode engine after the engine `source` has processed the prompt.
    ///
    /// # Errors
    ///
    /// [`Denial`] if there is none.
    pub fn choose_decode(
        &self,
        request: &PlacementRequest,
        source: EndpointKey,
        now: Moment,
    ) -> Result<Choice, Denial> {
        let domain = self.endpoints.get(source).map(|endpoint| endpoint.facts.domain.clone());
        let candidates = self.eligible(request, Some(Stage::Decode), now).map(|(key, endpoint)| {
            let far = domain.as_ref().is_some_and(|domain| *domain != endpoint.facts.domain);
            self.decode_candidate(key, endpoint, request, far, now)
        });
        cheapest(candidates, request)
            .unwrap_or_else(|| Err(self.denial(request, Some(Stage::Decode), now)))
    }

    /// Like [`Self::choose_decode`] at a given engine, which has a copy of the run's KV cache.
    ///
    /// # Errors
    ///
    /// [`Denial`] if the engine accepts no work.
    pub fn choose_at(
        &self,
        request: &PlacementRequest,
        at: EndpointKey,
        now: Moment,
    ) -> Result<Choice, Denial> {
        let mut eligible = self.eligible(request, Some(Stage::Decode), now);
        let endpoint = eligible.find(|(key, _)| *key == at).map(|(_, endpoint)| endpoint);
        let candidate =
            endpoint.map(|endpoint| self.decode_candidate(at, endpoint, request, false, now));
        candidate
            .map(|candidate| candidate.choice)
            .ok_or_else(|| self.denial(request, Some(Stage::Decode), now))
    }

    /// The engine that should receive a backup copy of a run's KV cache: the one with the fewest
    /// tokens in memory, preferably in the same failure domain. `None` if the copy is too large.
    ///
    /// If the run's engine is lost, a stream that may not be executed again continues from the
    /// copy. A large copy would delay the KV transfers of split runs on the engines' links.
    pub fn choose_backup(
        &self,
        request: &PlacementRequest,
        run: EndpointKey,
        now: Moment,
    ) -> Option<EndpointKey> {
        if f64::from(request.prompt) * self.token_transfer_ms > MAX_COPY_MS {
            return None;
        }
        let domain = &self.endpoints.get(run)?.facts.domain;
        let others =
            self.eligible(request, Some(Stage::Decode), now).filter(|(key, _)| *key != run);
        let filled = |endpoint: &BoardEndpoint| {
            (endpoint.facts.domain != *domain, endpoint.load(now).context)
        };
        others.min_by_key(|(_, endpoint)| filled(endpoint)).map(|(key, _)| key)
    }

    /// The engine of a stage that rendezvous hashing of the prompt's largest shared part prefers.
    fn preferred(
        &self,
        request: &PlacementRequest,
        stage: Stage,
        now: Moment,
    ) -> Option<EndpointKey> {
        let (_, shared) = request.parts.split_last()?;
        let part = shared.iter().max_by_key(|part| part.tokens)?;
        let eligible = self.eligible(request, Some(stage), now);
        eligible.max_by_key(|(_, endpoint)| score(part.id, endpoint.name_hash)).map(|(key, _)| key)
    }

    /// Records that an engine will process or fetch a prompt and then have it cached.
    pub fn note_prompt(&mut self, key: EndpointKey, parts: &[PromptPart], now: Moment) {
        let kv_tokens = self.settings.costs.kv_tokens;
        if let Some(endpoint) = self.endpoints.get_mut(key) {
            endpoint.cache.note(parts, kv_tokens, now);
        }
    }

    /// Whether a service has an engine of a stage that accepts work.
    pub fn has_stage(&self, service: &str, stage: Stage) -> bool {
        let mut endpoints = self.members(service).iter().map(|key| &self.endpoints[*key]);
        endpoints.any(|endpoint| endpoint.facts.stage == Some(stage) && !endpoint.is_leaving())
    }

    /// Why no endpoint of a stage accepts an attempt, and when to retry.
    fn denial(&self, request: &PlacementRequest, stage: Option<Stage>, now: Moment) -> Denial {
        let members = self.members(&request.service).iter().map(|key| &self.endpoints[*key]);
        let members = members.filter(|endpoint| stage.is_none() || endpoint.facts.stage == stage);
        let yields = self.refusals.is_before(&request.service, request.rank, now);
        let waits = members.filter(|endpoint| !endpoint.is_leaving()).filter_map(|endpoint| {
            if let Some(left) = endpoint.availability.pause_left(now) {
                return Some((left, DenialCause::Paused));
            }
            let wait = endpoint.limit.wait().filter(|_| yields || !endpoint.limit.allows());
            wait.map(|wait| (wait, DenialCause::Limited))
        });
        match waits.min_by_key(|(wait, _)| *wait) {
            Some((wait, cause)) => Denial { cause, retry_after: wait.max(MIN_RETRY_AFTER) },
            None => Denial { cause: DenialCause::NoEndpoint, retry_after: NO_ENDPOINT_RETRY_AFTER },
        }
    }

    /// Endpoints that an attempt may be sent to, within the rate limits that they name. Avoided
    /// ones are included only if there are no others, and paused ones only if all are paused, for
    /// one probe each.
    fn eligible<'a>(
        &'a self,
        request: &'a PlacementRequest,
        stage: Option<Stage>,
        now: Moment,
    ) -> impl Iterator<Item = (EndpointKey, &'a BoardEndpoint)> + 'a {
        let yields = self.refusals.is_before(&request.service, request.rank, now);
        let usable = move |key: &EndpointKey| {
            let endpoint = &self.endpoints[*key];
            !endpoint.is_leaving()
                && (stage.is_none() || endpoint.facts.stage == stage)
                && !request.tried.contains(key)
                && endpoint.own.attempts < request.max_concurrent
                && request.subset.as_ref().is_none_or(|subset| subset.contains(key))
                && endpoint.limit.allows()
                && !(yields && endpoint.limit.rate().is_some())
        };
        let members = self.members(&request.service);
        let accepting =
            move |key: &EndpointKey| self.endpoints[*key].availability.pause_left(now).is_none();
        let all_paused = !members.iter().any(|key| usable(key) && accepting(key));
        let usable = move |key: &EndpointKey| {
            let may_probe = all_paused && self.endpoints[*key].availability.may_probe(now);
            usable(key) && (accepting(key) || may_probe)
        };
        let any_healthy =
            members.iter().any(|key| usable(key) && !self.endpoints[*key].is_avoided(now));
        let eligible = move |key: &&EndpointKey| {
            usable(key) && (!any_healthy || !self.endpoints[**key].is_avoided(now))
        };
        members.iter().filter(eligible).map(|key| (*key, &self.endpoints[*key]))
    }
}
