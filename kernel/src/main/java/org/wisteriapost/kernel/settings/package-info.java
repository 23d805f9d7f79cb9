/**
 * INI settings, checked whole before anything starts.
 */
package org.wisteriapost.kernel.settings;
