#pragma once

// Orders that a crash or an isolation of their worker left unanswered, and that are carried out later by the
// incarnation that then has the worker's id.

#include <functional>
#include <string>
#include <utility>

#include "simulation_records.hpp"

namespace walkthread::test
{

class delayed_orders : public simulation_records
{
  public:
    // Orders that were carried out by an incarnation other than the addressed one.
    [[nodiscard]] std::size_t orders_for_former_incarnations() const
    {
        return m_for_former_incarnations;
    }

  protected:
    using simulation_records::simulation_records;

    // Carries out an unanswered order later with the probability `share`. An isolated worker may have
    // received it before it was isolated.
    void carry_out_later(const worker_address& to, double share,
                         const std::function<void(sim_worker&)>& carry_out)
    {
        if (share == 0.0 || random_fraction() >= share)
        {
            return;
        }
        const delayed_order_settings& chosen = m_settings.delayed_orders;
        const auto span = static_cast<double>((chosen.latest - chosen.earliest).count());
        const auto more = static_cast<std::int64_t>(random_fraction() * span);
        at(chosen.earliest + milliseconds(more),
           [this, to, carry_out]
           {
               sim_worker& worker = m_workers.at(to.id);
               if (worker.terminated)
               {
                   return;
               }
               m_for_former_incarnations +=
                   worker.description.process_start != to.process_start && to.fence >= worker.fence ? 1U : 0U;
               carry_out(worker);
           });
    }

  private:
    std::size_t m_for_former_incarnations = 0;
};

} // namespace walkthread::test
