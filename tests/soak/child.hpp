// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_SOAK_CHILD_HPP_INCLUDED
#define COURSEHEAD_SOAK_CHILD_HPP_INCLUDED

#include <sys/types.h>

#include <string>
#include <vector>

namespace coursehead::soak {

//! A process that the soak started; ended with it, by its own id.
class Child {
public:
    Child( std::vector<std::string> command, std::string settingsFile, std::string logFile );
    ~Child();
    Child( const Child& ) = delete;
    Child& operator=( const Child& ) = delete;

    void start();
    void signal( int number ) const;
    //! True while it runs; collects it when it has ended.
    bool running();
    //! How often it was started.
    int lives() const { return m_lives; }
    //! Its highest resident memory so far, in kilobytes; 0 when it does not run.
    long peakKb() const;

private:
    std::vector<std::string> m_command;
    std::string m_settingsFile;
    std::string m_logFile;
    pid_t m_pid = -1;
    int m_lives = 0;
};

} // namespace coursehead::soak

#endif // COURSEHEAD_SOAK_CHILD_HPP_INCLUDED
