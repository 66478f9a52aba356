package catalog

import (
	"strconv"

	"github.com/zeebo/xxh3"
)

// IsolationKey names the group of requests that may share KV cache with a workspace's:
// its own alone if it is isolated, all others' otherwise. ws may be nil.
func (c *Catalog) IsolationKey(ws *Workspace) string {
	if ws != nil && ws.Isolated {
		return "own-" + string(ws.Name)
	}
	if c.isolated == "" {
		return "shared"
	}
	return "shared-" + strconv.FormatUint(xxh3.HashString(c.isolated), 36)
}
