package division

import "context"

// storedJobsKey is the key of the record that exists once the deployment has stored jobs. It is in the topic of the divisions because all
// instances read that topic in any case, so that deployments without stored jobs make no call for them.
const storedJobsKey = "stored-jobs"

// StoredJobs reports whether the deployment is known to have stored jobs. While Known is false, it may have some all the same.
func (c *Controller) StoredJobs() bool { return c.storedJobs.Load() }

// AnnounceStoredJobs writes to the store that the deployment has stored jobs, unless that is known.
func (c *Controller) AnnounceStoredJobs(ctx context.Context) error {
	if c.storedJobs.Load() {
		return nil
	}
	if err := c.opts.Store.Put(ctx, c.opts.Topic, storedJobsKey, []byte{1}); err != nil {
		return err
	}
	c.NoteStoredJobs()
	return nil
}

// NoteStoredJobs records that the deployment has stored jobs, as a request of another instance shows.
func (c *Controller) NoteStoredJobs() {
	if !c.storedJobs.Swap(true) {
		c.opts.OnChange()
	}
}
