#pragma once

/// Forward declarations of the public types.
namespace arbutusferry {

class clock_source;
class config_state;
class metrics_registry;
class object_reader;
class platform_log;
class rpc_client;
class rpc_dispatcher;
class target_provisioner;
class usage_sink;
class vm_directory;
enum class error_code;
enum class outcome;
enum class stage;
enum class target_kind;
enum class target_pool;
enum class target_state;
struct boot_clock;
struct environment_document;
struct error_info;
struct node_sync_request;
struct node_sync_response;
struct raw_log_record;
struct stage_config;
struct target_info;
struct usage_counter;
struct usage_report;

} // namespace arbutusferry
