#include "version/policy/policy_program.hpp"

#include <cmath>
#include <cstring>
#include <limits>
#include <string_view>
#include <utility>

namespace hatchfork {
namespace {

/// Instruction limit of loading a program. Higher than that of a decision, because the top-level code runs once and may
/// build tables of many tenants.
constexpr std::uint64_t kLoadInstructions = 200'000;
constexpr std::size_t kMaxReasonBytes = 200;
constexpr const char* kDecideFunction = "decide";

Error failed(const std::string& name, std::string message) {
  return Error{
      ErrorKind::kPolicyFailed,
      "policy " + name + " " + std::move(message),
      "ask the operators to fix the policy; hatchfork ctl policy check validates a policy before it is applied",
      Executed::kNo,
      {}};
}

struct LoadCall {
  const char* name = nullptr;
  std::string_view source;
};

// The functions below run inside a protected call: a Lua error leaves them by longjmp, so they own no C++ objects.

int loadProgram(lua_State* state) {
  const auto& load = *static_cast<const LoadCall*>(lua_touserdata(state, 1));
  // Accepts text only: crafted byte code could escape the virtual machine.
  const int status = luaL_loadbufferx(state, load.source.data(), load.source.size(), load.name, "t");
  if (status != LUA_OK) return lua_error(state);
  lua_call(state, 0, 0);
  if (lua_getglobal(state, kDecideFunction) != LUA_TFUNCTION) {
    return luaL_error(state, "the program defines no function decide(request)");
  }
  return 0;
}

struct DecideCall {
  const PolicyInput* input = nullptr;
  const char* kind = nullptr;
  const char* urgency = nullptr;
  PolicyDecision* decision = nullptr;
};

void pushText(lua_State* state, const char* key, const std::string& text) {
  lua_pushlstring(state, text.data(), text.size());
  lua_setfield(state, -2, key);
}

void pushRequest(lua_State* state, const DecideCall& call) {
  lua_createtable(state, 0, 5);
  pushText(state, "tenant", call.input->tenant.value);
  pushText(state, "model", call.input->model.value);
  lua_pushstring(state, call.kind);
  lua_setfield(state, -2, "kind");
  lua_pushstring(state, call.urgency);
  lua_setfield(state, -2, "urgency");
  lua_pushnumber(state, call.input->pressure);
  lua_setfield(state, -2, "pressure");
}

bool readBoolean(lua_State* state, const char* key) {
  if (!lua_isboolean(state, -1)) luaL_error(state, "%s is not a boolean", key);
  return lua_toboolean(state, -1) != 0;
}

std::uint32_t readLimit(lua_State* state, const char* key) {
  int is_integer = 0;
  const lua_Integer value = lua_tointegerx(state, -1, &is_integer);
  const bool is_number = lua_type(state, -1) == LUA_TNUMBER;
  const bool fits = is_integer != 0 && value >= 1 && value <= std::numeric_limits<std::uint32_t>::max();
  if (!is_number || !fits) luaL_error(state, "limits.%s is not a positive 32-bit integer", key);
  return static_cast<std::uint32_t>(value);
}

PolicyUrgency readUrgency(lua_State* state) {
  const char* text = lua_type(state, -1) == LUA_TSTRING ? lua_tostring(state, -1) : "";
  if (std::strcmp(text, "low") == 0) return PolicyUrgency::kLow;
  if (std::strcmp(text, "normal") == 0) return PolicyUrgency::kNormal;
  if (std::strcmp(text, "high") == 0) return PolicyUrgency::kHigh;
  luaL_error(state, "urgency is not one of low, normal, high");
  return PolicyUrgency::kNormal;
}

void readReason(lua_State* state, PolicyDecision& decision) {
  if (lua_type(state, -1) != LUA_TSTRING) luaL_error(state, "reason is not a string");
  std::size_t size = 0;
  const char* text = lua_tolstring(state, -1, &size);
  if (size > kMaxReasonBytes) luaL_error(state, "reason is longer than %d bytes", static_cast<int>(kMaxReasonBytes));
  decision.reason.assign(text, size);
}

/// Returns the key of a table entry, with the key at stack position -2 and the value at -1.
const char* entryKey(lua_State* state, const char* table) {
  if (lua_type(state, -2) != LUA_TSTRING) luaL_error(state, "%s has a key that is not a string", table);
  return lua_tostring(state, -2);
}

void readLimits(lua_State* state, PolicyLimits& limits) {
  if (!lua_istable(state, -1)) luaL_error(state, "limits is not a table");
  lua_pushnil(state);
  while (lua_next(state, -2) != 0) {
    const char* key = entryKey(state, "limits");
    if (std::strcmp(key, "max_tokens") == 0) {
      limits.max_tokens = readLimit(state, key);
    } else if (std::strcmp(key, "concurrency") == 0) {
      limits.concurrency = readLimit(state, key);
    } else {
      luaL_error(state, "limits has the unknown key %s", key);
    }
    lua_pop(state, 1);
  }
}

/// Reads one entry of the decision, with the value on top of the stack.
void readEntry(lua_State* state, const char* key, PolicyDecision& decision, bool& has_allow) {
  if (std::strcmp(key, "allow") == 0) {
    decision.allow = readBoolean(state, key);
    has_allow = true;
  } else if (std::strcmp(key, "may_shed") == 0) {
    decision.may_shed = readBoolean(state, key);
  } else if (std::strcmp(key, "urgency") == 0) {
    decision.urgency = readUrgency(state);
  } else if (std::strcmp(key, "reason") == 0) {
    readReason(state, decision);
  } else if (std::strcmp(key, "limits") == 0) {
    readLimits(state, decision.limits);
  } else {
    luaL_error(state, "the decision has the unknown key %s", key);
  }
}

int runDecide(lua_State* state) {
  const auto& call = *static_cast<const DecideCall*>(lua_touserdata(state, 1));
  lua_getglobal(state, kDecideFunction);
  pushRequest(state, call);
  lua_call(state, 1, 1);
  if (!lua_istable(state, -1)) return luaL_error(state, "decide did not return a table");
  bool has_allow = false;
  lua_pushnil(state);
  while (lua_next(state, -2) != 0) {
    readEntry(state, entryKey(state, "the decision"), *call.decision, has_allow);
    lua_pop(state, 1);
  }
  if (!has_allow) return luaL_error(state, "the decision has no key allow");
  return 0;
}

const char* nameOf(PolicyUrgency urgency) {
  if (urgency == PolicyUrgency::kLow) return "low";
  return urgency == PolicyUrgency::kHigh ? "high" : "normal";
}

}  // namespace

PolicyProgram::PolicyProgram(std::string name, const SandboxLimits& limits)
    : name_(std::move(name)), limits_(limits), sandbox_(std::make_unique<LuaSandbox>(limits)) {}

Result<PolicyProgram> PolicyProgram::compile(const std::string& name, const std::string& source,
                                             const SandboxLimits& limits) {
  if (source.size() > kMaxPolicySourceBytes) return failed(name, "is longer than 64 KB");
  PolicyProgram program(name, limits);
  if (!program.sandbox_->isOpen()) return failed(name, "can't load the Lua libraries within its memory limit");
  const std::string chunk_name = "=" + name;
  LoadCall load{chunk_name.c_str(), source};
  const SandboxFault fault = program.sandbox_->call(loadProgram, &load, kLoadInstructions);
  if (fault != SandboxFault::kNone) return program.faultOf(fault, "does not load");
  return program;
}

Result<PolicyDecision> PolicyProgram::evaluate(const PolicyInput& input) {
  PolicyDecision decision;
  decision.urgency = input.urgency;
  DecideCall call{&input, input.kind == WorkKind::kBatch ? "batch" : "online", nameOf(input.urgency), &decision};
  const SandboxFault fault = sandbox_->call(runDecide, &call, limits_.instructions);
  if (fault != SandboxFault::kNone) return faultOf(fault, "failed");
  return decision;
}

Error PolicyProgram::faultOf(SandboxFault fault, const char* phase) {
  const std::string message = sandbox_->takeMessage();
  std::string cause = message.empty() ? "the error value is not a string" : message;
  if (fault == SandboxFault::kInstructions) cause = "it runs too long";
  if (fault == SandboxFault::kMemory) cause = "it uses too much memory";
  return failed(name_, std::string(phase) + ": " + cause);
}

}  // namespace hatchfork
