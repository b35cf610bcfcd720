#pragma once

#include <functional>
#include <string>

#include "connection/asio.hpp"
#include "connection/http_server.hpp"
#include "process/control/control_service.hpp"
#include "process/node/admin_access.hpp"
#include "process/node/control_settings.hpp"

namespace hatchfork::node {

/// The administration API of one control replica over HTTP and JSON:
///   GET  /v1/status                      groups, gateways and their revisions, as this replica sees them
///   GET  /v1/jobs                        running batch jobs of all groups, as this replica sees them
///   GET  /v1/config[?revision=N]         the configuration; a team sees its own part
///   GET  /v1/config/history[?from=N][&most=N]  accepted changes; without from, the newest
///   GET  /v1/config/diff?from=N[&to=N]   objects that differ between two revisions
///   POST /v1/config/changes[?wait=true]  a `ConfigurationChange`; with wait, answers when it is in force everywhere
///   GET  /v1/audit[?most=N]              accepted changes and recorded acts: who, when, why
///   POST /v1/audit/actions               records an `AdminAction`
///   POST /v1/groups/{n}/membership       {"members": [...], "action": "ID"}; the act must have been recorded
///   GET  /healthz, /readyz, /metrics
/// A replica that does not lead refuses changes with `not_leader` and `leader_address`. Except for the first two,
/// answers are made from state proved fresh. Rights: see `version/access_rights.hpp`. Control thread.
class AdminApi {
 public:
  /// `flush` sends what a call made ready.
  AdminApi(const ControlSettings& settings, control::ControlService& service, std::function<void()> flush);

  connection::Awaitable<void> handle(const connection::HttpRequest& request, connection::ResponseWriter& writer);
  void setNotReady() { ready_ = false; }

 private:
  connection::Awaitable<connection::HttpResponse> respond(const connection::HttpRequest& request);
  connection::Awaitable<connection::HttpResponse> respondFresh(const connection::HttpRequest& request);
  connection::Awaitable<connection::HttpResponse> applyChange(const connection::HttpRequest& request,
                                                              const AdminCaller& caller);
  connection::Awaitable<connection::HttpResponse> recordAction(const connection::HttpRequest& request,
                                                               const AdminCaller& caller);
  connection::Awaitable<connection::HttpResponse> changeMembership(const connection::HttpRequest& request,
                                                                   const AdminCaller& caller);
  connection::Awaitable<control::ControlReply> propose(control::ControlRequest request);
  connection::Awaitable<Status> awaitFresh();
  connection::HttpResponse localResponse(const connection::HttpRequest& request) const;
  connection::HttpResponse readResponse(const connection::HttpRequest& request) const;
  connection::HttpResponse configurationResponse(const connection::HttpRequest& request,
                                                 const AdminCaller& caller) const;
  connection::HttpResponse historyResponse(const connection::HttpRequest& request) const;
  connection::HttpResponse diffResponse(const connection::HttpRequest& request) const;
  connection::HttpResponse replyResponse(const control::ControlReply& reply) const;
  bool isActionRecorded(const ChangeId& id, const AdminCaller& caller) const;
  const Configuration& configuration() const { return service_.configuration().configuration(); }

  const ControlSettings& settings_;
  control::ControlService& service_;
  std::function<void()> flush_;
  bool ready_ = true;
};

}  // namespace hatchfork::node
