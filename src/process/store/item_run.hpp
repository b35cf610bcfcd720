#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

#include "common/ids.hpp"
#include "common/time.hpp"
#include "request/admission/fair_share.hpp"
#include "request/batch/due_order.hpp"
#include "request/exchange/engine_selector.hpp"

namespace hatchfork::store {

/// An open item, with the text that its runs have produced so far.
struct ItemRun {
  JobId job;
  std::string item;
  std::string text;
  bool has_text = false;
  std::optional<std::uint64_t> last_event;
  /// Build of the engine that runs the item, or that wrote its text; empty if it is not known.
  EngineBuild build;
  /// Time since which the engines of this build have had no room for the item; unset while it runs.
  Instant build_full_since{};
  /// True if a run ended there by a closed connection, which does not prove that the text is whole, and none since has
  /// brought an event.
  bool after_close = false;
  Instant next_save{};
  /// Chain of the run that is in flight or ended last, whose text continues that of the runs before it.
  std::uint64_t chain = 0;
  /// Chain of an adopted run whose text has not arrived yet.
  std::uint64_t adopted_chain = 0;
  /// Number of failed runs that the group has stored.
  std::uint32_t failures = 0;
  /// Number of failures that are being proposed; the item is not ordered before they are stored.
  std::size_t pending_failures = 0;
  std::uint32_t attempts = 0;
  /// Number of runs in a row that broke off at their engines before an event.
  std::uint32_t breaks_in_series = 0;
  /// Number of times in a row that engines declined the item for what it asks for.
  std::uint32_t own_declines = 0;
  Instant not_before{};
  /// Time at which the result is due, and the key by which the queue is sorted.
  Instant due = Instant::max();
  request::DueItem order{};
  TenantId tenant;
  ServiceId service;
  /// True while the item is in the queue, with its lane and its position there; see `WaitingQueue`.
  bool is_waiting = false;
  std::uint32_t lane = 0;
  std::uint64_t rank = 0;
  /// Pressure on the item, from the lack of slack of this item or of one behind it; from 1 on it does not wait for
  /// lasting capacity.
  double pressing = 0;
  /// Fair-share position of the item between tenants where capacity is short, and its tenant's turn once it runs.
  double turn = 0;
  request::Turn share;
  Instant started_at{};
  bool running = false;
  /// True if earlier leaders may have run the item, with answers that are not stored yet.
  bool is_inherited = false;
  /// True if its outcome is being proposed.
  bool has_outcome = false;
  /// Number of events of all runs; time of the first event of this run, and number of events then.
  std::uint64_t events = 0;
  Instant first_event_at{};
  std::uint64_t events_before = 0;
  EngineId engine;
  /// Store that runs the item, or ran it last.
  ReplicaId runner;
  bool stopped = false;
  /// Number of the run in flight, which identifies it in reports.
  std::uint64_t number = 0;
  request::TicketId ticket = 0;
};

}  // namespace hatchfork::store
