// The table of the reasons in the nodes' log lines.
#include "node/failure_reasons.h"

#include <algorithm>
#include <array>

namespace arbutus {

namespace {

struct known_reason {
  std::string_view reason;
  std::string_view cause;
};

// Explains each reason and says where to look next. The reasons are those in the nodes' log lines.
constexpr std::array<known_reason, 40> known_reasons = {{
    {"every replica is at its capacity for this latency objective",
     "More requests arrived at all nodes than the replicas of the model can begin to answer within "
     "their objectives, so a part of each priority was refused at once, the least urgent first. "
     "The line admission refused gives what was known: requests within 300 ms that arrived "
     "(arrivals) and that replicas could take (can_take), and the admitted fraction."},
    {"every replica is full",
     "Each replica of the model had all its slots in use. The number of replicas that the node "
     "counted is shown below. If it is low, look at the keeper plan lines of the data centre; "
     "otherwise there was more load than the fleet serves."},
    {"no replica of the model serves",
     "No replica of the model was open and free of suspect members. Look at the keeper plan and "
     "keeper order lines of the data centre."},
    {"another run went on first",
     "The run at this target had fallen silent, so a second one began elsewhere. One of the two "
     "answered first, and the other one was ended."},
    {"no time is left", "The time that the caller or the route allows was used up."},
    {"connection lost",
     "The connection to the target broke while it answered: the target ended or was cut off."},
    {"reset", "The target or the network reset the connection."},
    {"connection reset before the end",
     "The connection was reset while the target answered, so the end of what had arrived is not "
     "the end of the answer."},
    {"malformed", "What the target sent is not HTTP."},
    {"status out of range",
     "What the target sent has a status that is no status of HTTP (200 to 599), so it is no "
     "answer."},
    {"unknown transfer encoding",
     "The target sent its body in a transfer encoding other than chunks, so the bytes that arrived "
     "are not the body."},
    {"timeout", "The target did not answer within the time that was left."},
    {"could not be sent",
     "No connection to the target could be established, so the request did not run there."},
    {"the target did not run it",
     "The target rejected the request: it was full, stalled, or not the head of its replica any "
     "more."},
    {"the target failed", "The target answered with an error of its own."},
    {"the target's own failure",
     "The target answered with an error of its own, which was passed on unchanged."},
    {"the target refused it without saying that it did not run it",
     "The target answered 503, 429 or 408, which promises callers that the request has not run, "
     "and "
     "did not state so itself. It may have run the request, which may not be repeated, so the "
     "caller got 502 or 504 without the promise. See the status of the attempt."},
    {"the stream ended inside an event", "The target's stream ended in the middle of an event."},
    {"events out of order", "The target's events did not follow on one another."},
    {"the answer was not this request's",
     "The target sent an answer without its signature, or the answer to another request."},
    {"no configuration is known yet", "The node had just started and reached no store yet."},
    {"the configuration may be out of date",
     "The node could not confirm that its configuration is current, so it may not report that a "
     "route is not there. See its store lines below."},
    {"keys cannot be checked: the configuration is stale",
     "The node had no recent proof that its configuration is the newest: a key might have "
     "been withdrawn. See its store lines below, and the link to its hub."},
    {"the key cannot be confirmed",
     "The proof that the configuration is the newest ran out while the request waited."},
    {"the key was withdrawn", "A newer configuration no longer has the caller's key."},
    {"the key is not known", "No workspace of the configuration in force has the caller's key."},
    {"no route has this host and path",
     "No route of the configuration in force matches the host and path."},
    {"it ended the targets that ran it",
     "The same request (identified by workspace, method, host, path, model and body) was running "
     "each time when "
     "targets ended, one after the other, and never completed. It was refused without a run; see "
     "the poison evidence and poison convicted lines below, and /poison at a node's metrics "
     "address to release it."},
    {"the targets asked for a backoff",
     "Each target that could take the request had answered 503 with Retry-After, so this node sent "
     "it nothing until that time ended. The caller was told when the first backoff ends. See the "
     "lines target backs off below."},
    {"the targets are leaving",
     "Each target that could take the request had said in its answers that it is leaving. See the "
     "lines target is leaving below."},
    {"the target asked for a backoff or leaves meanwhile",
     "While the request waited for its connection, the target answered another one with 503 and "
     "Retry-After or said that it is leaving, so the request was not sent."},
    {"the data centre of the targets is evacuated",
     "Operators have evacuated each data centre with a target that could take the request. See the "
     "evacuation lines below, and the rows evacuate/NAME of table op."},
    {"no target is in a region that the request allows",
     "The route or the workspace restricts the regions, and no target that could take the request "
     "is in one of them, by [regions] of the node's settings."},
    {"this node reaches no target for it",
     "The node could open no connection to any target that could take the request, and no other "
     "node took it over. See its reach lines below."},
    {"refused by the node that took it over",
     "The node could not reach the targets and handed the request over to another node, which "
     "refused it. The lines of that node say why."},
    {"the peer gave no complete answer",
     "The node could not reach the targets and handed the request over to another node, whose "
     "answer broke off: that node ended, or was cut off, too."},
    {"the peer reaches no target for it",
     "The node could not reach the targets, and neither could the last node that it asked to take "
     "the request over."},
    {"the peer has too many calls of others",
     "The node could not reach the targets, and the last node that it asked to take the request "
     "over had no room for it."},
    {"the peer does not serve it now",
     "The node could not reach the targets, and the last node that it asked to take the request "
     "over was stopping, or had no current configuration."},
    {"no instance is known", "No instance of the service was listed as ready."},
}};

}  // namespace

std::string_view cause_of_reason(std::string_view reason) {
  const auto known = std::find_if(known_reasons.begin(), known_reasons.end(),
                                  [&](const known_reason& k) { return k.reason == reason; });
  return known == known_reasons.end() ? std::string_view{} : known->cause;
}

}  // namespace arbutus
