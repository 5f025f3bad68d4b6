"""What each log event and metric of the daemons means, for docs/operators/events.md."""

EVENT_MEANINGS = {
    "client_refused": "A client's connection was closed or its unfinished request refused.",
    "required_task_ended": "A background task that must run until the process stops has ended, and"
    " why; it is started again. The metric `required_task_ends` counts this by task.",
    "leader_chore_failed": "A task of the leader ended by an error; the others go on, and it is"
    " tried again. At most one line a second; the metric counts all.",
    "frames_failed": "An error ended the frames that a daemon sends to control; it connects again.",
    "replica_signals": "An answer of a replica asks for back-off (`Retry-After` of a refusal),"
    " says that the replica leaves, or says one of them in a way that cannot be read.",
    "leave_reported": "A replica said in an answer that it leaves; control takes it for draining.",
    "leave_not_reported": "Control did not take such a report in time.",
    "send_held_back": "A request was not sent although its replica had been chosen: while a"
    " connection came about the replica asked for back-off or left.",
    "gateway_readiness": "A gateway is not ready because its link or its loop is behind and it has"
    " more under way than twice the mean, or is ready again.",
    "place_decided": "A request for a plain service waits for a place, is sent although places"
    " seem taken, or is turned away; with what decided it.",
    "place_waited": "A request was sent after it waited for a place: there was room, or it was its"
    " last start to be in time.",
    "agent_lost": "An agent could not be reached, or was lost in the middle of an answer.",
    "allotment_failed": "Tokens asked of another region did not come.",
    "allotment_received": "Tokens of another region were credited here.",
    "change_in_force": "Control puts a change in force: how many daemons were counted, and who was"
    " left out (name@revision applied/age of its last word/stream).",
    "configuration_behind": "A daemon learns that what is in force, or what it was told to hold"
    " below, is newer than what it holds.",
    "configuration_caught_up": "It holds it now.",
    "configuration_in_use": "A gateway acts on this version from now on: whether requests need a"
    " key in it (`keys_required`), and how many keys tenants hold (`keys`).",
    "control_lost": "A stream to control ended or could not be opened; `silent_s` since an answer,"
    " `late_ms` of the silence in which this process was late.",
    "loop_late": "The process ran late by `late_ms`: what it judged by a time-out then may be its"
    " own lateness. At most once each five seconds; the histogram `loop_late` has all.",
    "peer_call_expired": "Another member did not answer in `timeout_ms`, of which this process was"
    " late for `late_ms`: a vote (`step=RequestVote`) or entries (`step=AppendEntries`).",
    "refusals_not_noted": "Refusals of requests that crash replicas did not come into the log; the"
    " next look proposes them again.",
    "control_regained": "Control is heard again after a long silence.",
    "daemon_failed": "A daemon ends by itself.",
    "daemon_started": "All roles of a daemon are up.",
    "daemon_stopped": "A planned stop is over.",
    "daemon_stopping": "A planned stop began.",
    "disk_refuses_writes": "A member's disk takes no writes; it steps down and tries again. Told"
    " once, until it took one.",
    "disk_takes_writes": "It takes writes again, after `refused_s` and so many refusals.",
    "early_answers_failed": "Callers that came while the program was being loaded could not be"
    " refused: how often, and the last error.",
    "engine_control_failed": "An order to an engine failed.",
    "engine_holds_newer_fence": "An engine was ordered by a newer agent; this one gives way.",
    "engine_ordered": "An engine took an order.",
    "folder_is_new_in_a_running_group": "A member with an empty folder joins a group that runs.",
    "evacuation_applied": "A zone was evacuated or taken back, in the log; which services have no"
    " replica outside evacuated zones.",
    "evacuation_ordered": "An operator's order came to the leader; `overtaken` if it is older than"
    " the newest change of its zone, and so has no clear answer.",
    "group_named": "The leader wrote the name of the group into its log.",
    "group_formed": "The first members of a group found each other.",
    "heartbeat_unreadable": "A heartbeat cannot be used, and why; what is known of its replica"
    " stays as it is.",
    "hold_ordered": "A change waited long for this daemon, which is in touch: it is told to act by"
    " nothing older until it has the change.",
    "leader_chores_ended": "A leader's periodic work stopped, with its leadership.",
    "leader_elected": "This member leads, in this term.",
    "leader_stepped_down": "This member leads no more.",
    "leases_dropped": "A router forgot its leases: control charged its incarnation.",
    "member_changed": "A member was added to the group or became a voter.",
    "member_counts_again": "A repaired member has caught up and counts for the quorum.",
    "vote_refused": "A member refused a vote or a pre-vote to a candidate, and why: `not_admitted`"
    " means that the membership lists this member as a voter, but its data folder may not vote.",
    "election_lost": "A candidate got fewer votes (`granted`, its own included) than the quorum of"
    " the listed voters; `replied` of the others responded.",
    "election_not_started": "The leader is silent, and this member is listed as a voter but may not"
    " stand for election.",
    "member_failed": "A member cannot go on.",
    "member_passed_over": (
        "A replica that was sent to this member came back: for half a minute none is sent there."
    ),
    "member_removed": "A member is out of the group: it was about to stop (`reason=leaves`), or"
    " it was silent while the group has more voters than its size (`reason=replaced`).",
    "group_leave": "A control member is about to stop: whether it was removed from the group"
    " (`removed`), stays listed because it has no replacement (`kept`), or no leader answered in"
    " time (`unknown`).",
    "outcome_unknown": "It is not known whether a request ran; the agent will be asked.",
    "order_answered": "What became of a configuration, an evacuation or a leave, and the ms from"
    " its receipt until a leader was given it, it was committed, in force, and answered.",
    "planned_stop_cuts_requests": "The grace of a planned stop ran out with requests in flight.",
    "planned_stop_cuts_runs": "The same at an agent.",
    "platform_unreadable": "The platform's list of machines could not be read.",
    "promises_not_noted": "Promises of routers did not come into the log; they tell them again.",
    "prepaid_drawn": "Tokens asked of control: got, free here now, left at control.",
    "prepaid_not_drawn": "A draw of tokens got no answer in time; later requests draw again.",
    "prepaid_holder_closed": "A gateway is gone: what its tenants were charged for it, which"
    " successor's start bounds its end, and its last contact with a leader.",
    "replica_cold": "A gateway takes a replica for cold for `for_s`, and why; its sends are limited"
    " to `share_per_s`.",
    "replica_crashed": "A replica crashed while requests of this gateway ran there, by which sign"
    " (`refused`: nothing listens there any more, `replaced`: another start is registered), and"
    " after how long it was known.",
    "replica_looked_after": "A replica that accepted no connections does again, or left the list.",
    "crash_reported": "Control notes a crash that a gateway told of, and against which requests the"
    " evidence is enough now.",
    "crash_not_reported": "A gateway could not tell control of crashes.",
    "crashing_request_judged": "The leader refuses a request under which replicas crashed, for"
    " `for_s`, or lets it through again.",
    "crashing_requests_known": "A gateway learns which requests are refused and suspected.",
    "suspect_served": "A suspected request was answered in full: nothing is held against it.",
    "replica_forgotten": "A replica left the list.",
    "replica_known": "A replica is new, or its registration changed.",
    "way_not_open": "A connection to a control member that was tried after lost streams came to"
    " nothing.",
    "replica_limit": "What a replica takes from all gateways together has changed, as this gateway"
    " heard it from an `answer` or from `control`: `limit_per_s` requests a second (None: any"
    " number), what this gateway was `granted` of it, and what it `sent` in the last 4 s.",
    "replica_limit_shared": "The same at the leader, which grants sends: told by which gateway, and"
    " how old.",
    "replica_misdirected": "A replica's address answered that it is another's by now: it is left"
    " out for `for_s`.",
    "replica_suspected": "A send failed: others are preferred for `for_s`.",
    "replica_trusted": "A suspected replica gave a whole answer.",
    "files_not_removed": "A snapshot is saved, but the disk refused to remove files that it"
    " replaces; they cost room until the next snapshot.",
    "registrations_not_passed_on": "The first call to the leader without an answer since the last"
    " one that had one: how many registrations it passed on, and how many wait.",
    "replicas_registered": (
        "Registrations that came together went into the log as one entry: how many, how many"
        " wait for the next one, and how many routers are told."
    ),
    "replica_temperature": "A replica's word on being cold is news to the gateways.",
    "request_ended": "The end of a request that passed intake, with all that was counted.",
    "request_failed": "A fault of ours ended a request.",
    "request_refused": "A request ended with an error of ours, and why.",
    "request_sent": "A replica was chosen, with what decided it.",
    "reservation_passed": "An engine made more tokens than were reserved; it was cancelled.",
    "rollout_decided": "The leader takes the next step of a roll-out: the time passed, requests of"
    " the service and sends to the version on trial as routers told, what was granted, and which"
    " test or limit decided.",
    "rollout_ordered": "An operator's order came to the leader; `anew` if it is no repeat of the"
    " order before, `overtaken` if another order for the service was taken since it came.",
    "rollout_phase": "A phase of a roll-out, or a version that no order named, is in the log.",
    "router_gone": "A router is declared gone; its leases are collected.",
    "membership_changed": "Control reported a number of gateways that differs by more than half.",
    "retry_refused": "The retry budget of this gateway allowed no further attempt: requests and"
    " retries in the window, what was allowed, and the number of gateways that share it.",
    "send_failed": "A send gave no whole answer; `kind` says whether it may have run.",
    "session_rejected": "Control knows another incarnation of this daemon.",
    "settings_not_reloaded": "The new settings are wrong; the earlier ones stay.",
    "settings_reloaded": "New settings are in use.",
    "snapshot_installed": "A member took a snapshot from the leader.",
    "snapshot_not_saved": "A snapshot could not be written; the log is kept.",
    "snapshot_saved": "A snapshot was written; the log before it may go. Members that save one at"
    " the same `index` have the same `digest`, and the same of the prepaid `accounts`.",
    "cluster_version_raised": "The leader raised the cluster version: all members and daemons in"
    " touch support it.",
    "cluster_version_in_force": "A member applies commands by this cluster version from now on; an"
    " earlier build can't be put back.",
    "cluster_version_held_up": "Who keeps the leader from raising the cluster version, with the"
    " highest version that its build supports; none once nothing does.",
    "join_refused": "A build that lacks the cluster version in force asked to be a member.",
    "entry_not_applied": "This build can't apply an entry: its members end there at each start.",
    "command_refused": "An invariant refused a command while it was applied: its sender's account"
    " is not this member's.",
    "start_failed": "A daemon could not start.",
    "stopped_without_control": "Tokens could not be given back in a planned stop.",
    "replica_silent": "A replica is silent: a retry is asked for, the response is read on.",
    "response_resumed": "It went on after all; `cancelled` retries were cancelled.",
    "attempt_superseded": "It was cancelled: another attempt went on with the response.",
    "stream_broken": "An answer that had begun was cut.",
    "response_cut": "A response ended before its end: by whom, after how many bytes.",
    "stop_phase": "A gateway enters a phase of its planned stop; what holds it up.",
    "task_failed": "A background task ended with an error.",
    "tokens_refused": "A tenant's tokens could not be reserved; `held` is what was here.",
    "leave_of_earlier_start": "A deregistration was given an earlier start than the one known, by a"
    " member that lags: it is not acknowledged, and asked again.",
    "replaced_replica_heard": "A heartbeat of a replica whose address another one has: late, or"
    " proof that it runs (`returns`).",
    "torn_write_dropped": "The last write before a crash was torn and dropped.",
    "borrower_lost": "A gateway that borrowed here has restarted: its open loans are charged.",
    "lender_gone": "Loans cannot be settled: control no longer names their lender.",
    "lender_restarted": "A lender began anew and knows nothing of the loans it had made.",
    "version_stopped": "A gateway stops sending to a version on trial by what it saw alone.",
    "versions_clear": "A gateway has nothing under way at the versions that a service leaves, and"
    " sends nothing there any more.",
    "versions_known": "A gateway learns which versions of a service it may send to.",
    "zone_evacuated": "A gateway sends nothing more to the replicas of a zone.",
    "zone_restored": "A gateway may send there again; the replicas are taken for cold at first.",
    "stream_taken_up": "A caller takes a stream up: how the software version that began it was"
    " learned, and what this gateway knows of the service's versions.",
    "origins_not_recorded": "A gateway that keeps origins of streams did not answer.",
    "origin_not_answered": "A gateway that was asked for the origin of a stream did not answer.",
    "origin_message_refused": "A message about origins of streams came from another group or"
    " without proof.",
    "lending": "Where a gateway lends prepaid tokens, and whether messages are proved by a key.",
    "loan_asked": "Tokens were asked of a lender for a request: its answer, and the time it took.",
    "loan_message_lost": "No answer came to a message about loans.",
    "loan_message_refused": "A message about loans was not acted on, and why.",
    "loan_refused": "A lender could not lend what was asked: what it held, and how long control"
    " has been silent.",
}

METRIC_MEANINGS = {
    "group_leaves": "Planned stops of a control member, by what came of leaving its group.",
    "clients_refused": "Clients' connections closed and unfinished requests refused, by reason.",
    "leader_chores_failed": "Tasks of the leader that ended by an error, by task.",
    "gateway_streams_broken": "Streams broken off: `give_up` (no replica) or `output_limit`.",
    "loop_late": "How late the event loop came to a timer, of 10 a second, if by over 10 ms.",
    "crashes_reported": "Crashes of replicas that gateways told control.",
    "crash_reports_failed": "Such words that control did not take in time.",
    "crashing_requests": "Requests that the leader refused, or let through again.",
    "replica_limits_changed": "Changes of what rate-limited replicas take, by how one heard of it.",
    "replica_grants_late": "Requests that waited in vain for the leader to answer.",
    "replica_sends_granted": "Sends to rate-limited replicas that the leader granted.",
    "replica_back_offs": "Answers that asked this gateway for back-off, by service.",
    "replica_signals_malformed": "Answers with a header on their replica that cannot be read.",
    "leave_reports": "Leaves that replicas told in answers, as control took them.",
    "leave_reports_failed": "Such leaves that control did not take in time.",
    "replicas_left": "Replicas that said in an answer that they leave, by service.",
    "connections_not_had": "Requests for which no connection to their replica came free in time.",
    "sends_held_back": "Requests not sent after their replica had been chosen, by why.",
    "replica_limits_malformed": "Answers whose limit was no number: they name none.",
    "replica_crashes": "Crashes that a gateway noticed, by the sign.",
    "asks_refused": "Heartbeats told at once to ask elsewhere: too many waited for a leader.",
    "heartbeats_unreadable": "Heartbeats that could not be used.",
    "members_passed_over": "Members from which a replica came back that was sent there.",
    "registrations": "Registrations of replicas that went into the log.",
    "registration_calls_failed": "Calls that passed registrations on to the leader and had no"
    " answer.",
    "registrations_refused": "Registrations turned away: too many waited for the log.",
    "gateway_behind_changes": "Times that a gateway became ready or not by its link and loop, by"
    " reason.",
    "place_verdicts": "Requests for plain services that did not just find room, by verdict.",
    "place_wait": "Time that requests waited for a place, by service.",
    "agent_refusals": "Requests that an agent refused, by code.",
    "agent_run": "Time of a run at an agent.",
    "agent_tokens": "Tokens that engines made.",
    "attached": "Retries that were attached to a first attempt.",
    "callers_gone": "Callers that left before their answer's end.",
    "responses_cut": "Responses that ended before their end, by cause.",
    "silent_responses": "Responses with a silent replica, then `resumed` or `superseded`.",
    "planned_stop": "Time from the stop signal to each phase of a gateway's planned stop.",
    "change_in_force": "Time that a change waited until it was in force.",
    "command": "Time until a command was committed.",
    "commands_not_in_force": "Commands refused before they came into the log, since the cluster"
    " version does not allow them, by kind.",
    "sessions_of_earlier_builds_refused": "Streams of daemons whose builds do not support the"
    " cluster version in force.",
    "commands_refused": "Commands that an invariant refused while they were applied, by kind.",
    "cold_reports": "Words of replicas on being cold that were news, by what they said.",
    "daemons_left_out": "Daemons that changes in force did not wait for.",
    "hold_orders": "Orders to daemons that lag to act by nothing older.",
    "evacuations": "Zones evacuated, or taken back, by which.",
    "first_token": "Time to the first token.",
    "gateway_request": "Time of a request at a gateway, by outcome.",
    "objective_events": "Answers that count for an objective.",
    "objective_met": "Answers that met it.",
    "order_answered": "Time of an order from its receipt to its answer, by kind and standing.",
    "planned_stop_cuts": "Requests cut by planned stops.",
    "refused": "Refusals, by code.",
    "leaves_of_earlier_starts": "Deregistrations of an earlier start than the one known.",
    "replaced_replicas_heard": "Heartbeats of replicas whose address another has: late, or back.",
    "repeats_not_allowed": "Further sends that the retry budget forbade, by service.",
    "sends_without_retry_left": "Attempts that had to go to replicas that did not fail last,"
    " since the retry budget allowed no retry, by service.",
    "retries_sent": "Attempts taken out of the retry budget, by service.",
    "retries": "Further sends of routers.",
    "rollout_phases": "Phases of roll-outs that were written, by phase.",
    "rollout_sends": "Sends to versions on trial or moved to, by version.",
    "sends_failed": "Sends without a whole answer, by kind.",
    "streams_broken": "Streams that were cut after they had begun.",
    "whole_answer": "Time of a whole answer.",
    "loan_asked": "How long lenders took to answer.",
    "loan_messages_lost": "Messages about loans without an answer.",
    "loan_messages_refused": "Messages about loans that were not acted on, by reason.",
    "requests_across": "Sends to replicas of other regions, by why: none here, or those here busy.",
    "body_bytes_across": "Bytes of the bodies of such sends.",
    "spills_held_back": "Sends kept in a busy region, as many as may having gone elsewhere.",
    "loans_answered": "Loans that were asked for here, by outcome.",
    "loans_asked": "Loans that were asked of others, by outcome.",
    "loans_asked_across": "Loans asked of holders in other regions, by outcome.",
    "tokens_borrowed": "Tokens borrowed of others.",
    "tokens_charged_to_lost_borrowers": "Tokens of loans whose borrower ended unsettled.",
    "tokens_lent": "Tokens lent to others.",
    "streams_taken_up": "Streams that callers took up, by how their origin was learned.",
    "origins_recorded": "Origins of streams sent to other gateways.",
    "origin_messages": "Messages about origins of streams to other gateways, by kind.",
    "origin_messages_lost": "Such messages without an answer, by kind.",
    "origin_messages_refused": "Such messages from another group, or without proof.",
    "origin_records_dropped": "Origins not sent since their holder did not answer for long.",
}
