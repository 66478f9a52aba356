// Package e2e tests whole requests: callers, VMs in this process, stand-ins.
package e2e
