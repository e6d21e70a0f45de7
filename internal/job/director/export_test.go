package director

// TasksInMemory returns the number of tasks in memory, over all jobs.
func (dr *Director) TasksInMemory() int {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	count := 0
	for _, jb := range dr.jobs {
		for _, oc := range jb.occurrences {
			for _, sp := range oc.steps {
				count += len(sp.tasks)
			}
		}
	}
	return count
}
