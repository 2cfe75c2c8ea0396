// Package admin serves the administration API of a node: contracts, roll-out,
// status, members, events, claims, metrics and health.
//
//	GET    /v1/contracts                      all records
//	GET    /v1/contracts/{customer}           one record; ETag is its version
//	PUT    /v1/contracts/{customer}           If-None-Match: * creates, If-Match: "version" changes
//	DELETE /v1/contracts/{customer}           If-Match: "version" retires
//	GET    /v1/contracts/{customer}/rollout   which live nodes have the record in force
//	GET    /v1/status                         this node's state
//	GET    /v1/members                        the roster's live instances
//	GET    /v1/events                         request, customer, contract-version, since, limit
//	GET    /v1/claims/{customer}/{key}        a claim row
//	POST   /v1/claims/{customer}/{key}        {"expected": row version, "ran": bool} settles it
//	GET    /metrics, /healthz, /readyz        without a credential
//
// Errors are JSON: {"error": text, "faults": [...], "current": record}.
package admin
