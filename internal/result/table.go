package result

import (
	"maps"
	"slices"
)

var sortedCodes = slices.Sorted(maps.Keys(table))

const (
	fixRequest    = "correct the request and submit it again"
	newIdentity   = "get a new identity before submitting the work again"
	retryLater    = "submit again with the same identity after retry_after_ms"
	checkFirst    = "check whether the work took effect before submitting it under a new identity"
	askAgain      = "ask again with the same identity after retry_after_ms"
	nothingNeeded = "nothing"
)

var table = map[Code]Info{
	Complete: {"complete", 200, Ran, true, "every task ended; the answer holds every output", nothingNeeded},
	Running:  {"running", 202, MayHaveRun, false, "the job is accepted and not finished", askAgain},
	Accepted: {"accepted", 200, NotRun, true, "the operation was carried out", nothingNeeded},

	MalformedHTTP:     {"malformed_http", 400, NotRun, false, "the bytes are not an HTTP/1.1 request", fixRequest},
	MalformedBody:     {"malformed_body", 400, NotRun, false, "the body is not valid JSON", fixRequest},
	UnknownField:      {"unknown_field", 400, NotRun, false, "the body has a field that the interface does not have", fixRequest},
	WrongType:         {"wrong_type", 400, NotRun, false, "a field has a value of another type", fixRequest},
	OutOfRange:        {"out_of_range", 400, NotRun, false, "a number is outside its bounds", fixRequest},
	BodyTooLarge:      {"body_too_large", 413, NotRun, false, "the body exceeds the limit", fixRequest},
	TooManyTasks:      {"too_many_tasks", 400, NotRun, false, "the job has more tasks than the limit", "split the job"},
	NoTasks:           {"no_tasks", 400, NotRun, false, "the job has no task", fixRequest},
	UnknownService:    {"unknown_service", 404, NotRun, false, "the configuration has no such service", fixRequest},
	IdentityRequired:  {"identity_required", 400, NotRun, false, "the submission has no identity", "get one from POST /v1/identities"},
	IdentityMalformed: {"identity_malformed", 400, NotRun, false, "the identity was not issued by this system or to this team", newIdentity},
	IdentityReused:    {"identity_reused", 409, NotRun, false, "another body was submitted under this identity; this one was not run", newIdentity},
	UnknownPath:       {"unknown_path", 404, NotRun, false, "there is no such resource", fixRequest},
	MethodNotAllowed:  {"method_not_allowed", 405, NotRun, false, "the resource does not take this method", fixRequest},
	HeaderTooLarge:    {"header_too_large", 431, NotRun, false, "the header exceeds the limit", fixRequest},
	NotSubmitted:      {"not_submitted", 404, NotRun, false, "nothing was submitted under this identity so far", "submit"},

	Unauthenticated: {"unauthenticated", 401, NotRun, false, "the token is missing or unknown", "use a valid token"},
	Forbidden:       {"forbidden", 403, NotRun, false, "the token's role or team does not allow this", "use a token with the role or team"},

	QueueFull:           {"queue_full", 503, NotRun, false, "the queue is at its bound", retryLater},
	DeadlineUnreachable: {"deadline_unreachable", 503, NotRun, false, "the expected wait and run time exceed the deadline", retryLater},
	DeadlineExpired:     {"deadline_expired", 504, NotRun, true, "the deadline passed before any task started", newIdentity},
	RateLimited:         {"rate_limited", 429, NotRun, false, "the caller exceeds its request rate", retryLater},
	Draining:            {"draining", 503, NotRun, false, "the instance is stopping", "get a new identity on a new connection and submit there"},
	NeverFits:           {"never_fits", 422, NotRun, false, "a task is larger than every worker", fixRequest},
	QuotaExceeded:       {"quota_exceeded", 422, NotRun, false, "a task is larger than the team's hard limit", fixRequest},
	NotReady:            {"not_ready", 503, NotRun, false, "the instance has no configuration or no worker yet", retryLater},
	TooManyConnections:  {"too_many_connections", 503, NotRun, false, "the instance or the caller has its maximum of connections", "reuse connections, or ask again later"},

	TaskFailed:       {"task_failed", 502, Ran, true, "a task was run and reported a failure", newIdentity},
	WorkerLost:       {"worker_lost", 502, MayHaveRun, true, "a worker was lost while a task was on it", checkFirst},
	DeadlineExceeded: {"deadline_exceeded", 504, MayHaveRun, true, "the deadline passed after a task had started", checkFirst},
	CancelledNotRun:  {"cancelled_not_run", 410, NotRun, true, "the job was cancelled before any task started", newIdentity},
	Cancelled:        {"cancelled", 410, MayHaveRun, true, "the job was cancelled after a task had started", checkFirst},
	HomeLost:         {"home_lost", 502, MayHaveRun, true, "the instance that issued the identity is gone and no copy of an answer is left", checkFirst},
	IdentityExpired:  {"identity_expired", 410, MayHaveRun, true, "the identity is older than its validity", checkFirst},
	HomeUnreachable:  {"home_unreachable", 503, MayHaveRun, false, "the instance that issued the identity cannot be reached now", askAgain},
	AnswerDropped:    {"answer_dropped", 410, Ran, true, "the job completed and its answer is no longer kept", newIdentity},

	ConfigInvalid:     {"config_invalid", 422, NotRun, false, "the configuration document has errors; nothing was published", "correct every listed problem and publish again"},
	ConfigConflict:    {"config_conflict", 409, NotRun, false, "another version was published since the one that the request replaces", "read the current version, apply the change to it and publish again"},
	ConfigUnresolved:  {"config_unresolved", 503, MayHaveRun, false, "the log's answer was lost; the document may have been published", "look for the nonce in GET /v1/config/history before publishing again"},
	ConfigUnavailable: {"config_unavailable", 503, NotRun, false, "the log service refuses or the instance has no configuration; nothing was published", "try again when the log service is back"},
	RestoreNotNeeded:  {"restore_not_needed", 409, NotRun, false, "the instance misses no record of the log; nothing was changed", "publish instead"},
	NoSuchObject:      {"no_such_object", 404, NotRun, false, "there is no worker, job, dump or version of this name here", "check the name and the instance"},
	Timeout:           {"timeout", 504, MayHaveRun, false, "a part of the instance did not answer in time", "look at the state before repeating a change"},

	Internal: {"internal", 500, MayHaveRun, false, "a fault of the dispatcher", checkFirst},
}
