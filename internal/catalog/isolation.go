package catalog

import (
	"strconv"

	"github.com/zeebo/xxh3"
)

// IsolationKey returns the key of the requests that may share KV cache with those of a
// workspace: only its own if the workspace is isolated, those of all workspaces that are
// not isolated otherwise. ws may be nil.
func (c *Catalog) IsolationKey(ws *Workspace) string {
	if ws != nil && ws.Isolated {
		return "own-" + string(ws.Name)
	}
	if c.isolated == "" {
		return "shared"
	}
	return "shared-" + strconv.FormatUint(xxh3.HashString(c.isolated), 36)
}
