#ifndef CROCUSMAST_JOB_FWD_H_
#define CROCUSMAST_JOB_FWD_H_

namespace crocusmast::job {

class EarlierPlacements;
class Job;
class JobCatalog;
class StartedPools;
struct AcceptedJob;
struct JobProgress;
struct JobSpec;
struct Resources;
struct Step;
struct TaskId;

}  // namespace crocusmast::job

#endif  // CROCUSMAST_JOB_FWD_H_
